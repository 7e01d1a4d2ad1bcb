package org.cranberrybend.entry.upstream;

/**
 * The time for which no upstream of a service may receive requests from this instance.
 *
 * @param endMs monotonic time from which the first upstream may receive requests, as far as known
 * @param limited whether the requests to an upstream are limited, rather than that it asked for time
 */
public record Withholding(long endMs, boolean limited) {}
