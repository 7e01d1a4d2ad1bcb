package org.cranberrybend.entry.upstream;

/**
 * That no upstream of a service may receive requests from this instance for now.
 *
 * @param endMs monotonic time from which the first one may, as far as known
 * @param warmingUp whether an upstream is withheld because it is warming up, rather than because it asked for time
 */
public record Withholding(long endMs, boolean warmingUp) {}
