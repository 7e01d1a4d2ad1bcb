package org.cranberrybend.entry.port;

/**
 * Where the platform keeps what the program reads.
 *
 * @param configurationKey key of the routing configuration
 * @param upstreamPrefix prefix of the entries of upstreams; the rest of a key is the upstream's identifier
 */
public record StoreKeys(String configurationKey, String upstreamPrefix) {}
