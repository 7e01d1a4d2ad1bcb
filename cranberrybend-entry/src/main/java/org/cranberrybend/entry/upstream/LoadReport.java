package org.cranberrybend.entry.upstream;

/**
 * The load of an upstream as reported to some instance with a response.
 *
 * @param upstreamId identifier of the upstream
 * @param requests running and waiting requests of all instances
 * @param ageMs age of the report, in milliseconds
 */
public record LoadReport(String upstreamId, int requests, long ageMs) {}
