package org.cranberrybend.entry.upstream;

/**
 * The load of an upstream as it reported it to some instance.
 *
 * @param upstreamId upstream
 * @param requests requests of all instances that ran or waited there
 * @param ageMs time since the report, in milliseconds
 */
public record LoadReport(String upstreamId, int requests, long ageMs) {}
