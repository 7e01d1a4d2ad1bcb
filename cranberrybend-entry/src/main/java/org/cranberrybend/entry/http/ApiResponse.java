package org.cranberrybend.entry.http;

/**
 * A whole response to a call of an API.
 *
 * @param status HTTP status
 * @param body body
 */
@SuppressWarnings("ArrayRecordComponent")
public record ApiResponse(int status, byte[] body) {}
