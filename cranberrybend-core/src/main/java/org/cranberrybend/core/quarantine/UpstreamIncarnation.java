package org.cranberrybend.core.quarantine;

/**
 * One run of an upstream's process, which can crash only once.
 *
 * @param upstreamId identifier of the upstream, which a later run may have again
 * @param startedAtMs start of the run as the upstream states it, in milliseconds since the epoch
 */
public record UpstreamIncarnation(String upstreamId, long startedAtMs) {}
