package org.cranberrybend.entry.port;

/**
 * Keys under which the platform stores the data that the program reads.
 *
 * @param configurationKey key of the routing configuration
 * @param upstreamPrefix prefix of the entries of upstreams, followed by the identifier of the upstream
 */
public record StoreKeys(String configurationKey, String upstreamPrefix) {}
