package org.cranberrybend.entry.check;

/**
 * A finding of the check.
 *
 * @param code what was found
 * @param message the entry at fault and the problem; API keys appear only as digests
 */
public record Finding(FindingCode code, String message) {}
