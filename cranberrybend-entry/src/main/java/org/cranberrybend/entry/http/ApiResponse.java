package org.cranberrybend.entry.http;

/**
 * A complete response to an API call.
 *
 * @param status HTTP status
 * @param body body
 */
@SuppressWarnings("ArrayRecordComponent")
public record ApiResponse(int status, byte[] body) {}
