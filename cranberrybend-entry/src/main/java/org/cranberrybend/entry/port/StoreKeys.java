package org.cranberrybend.entry.port;

/**
 * Keys under which the platform stores the data that the program reads.
 *
 * @param operatorPrefix prefix of all keys that the operator writes
 * @param configurationKey key of the routing configuration; begins with the operator's prefix
 * @param evacuationPrefix prefix of the keys that request the evacuation of a zone, followed by the name of the zone;
 *     begins with the operator's prefix
 * @param upstreamPrefix prefix of the entries of upstreams, followed by the identifier of the upstream
 */
public record StoreKeys(
        String operatorPrefix, String configurationKey, String evacuationPrefix, String upstreamPrefix) {
    public StoreKeys {
        if (!configurationKey.startsWith(operatorPrefix) || !evacuationPrefix.startsWith(operatorPrefix)) {
            throw new IllegalArgumentException("keys of the operator must begin with " + operatorPrefix);
        }
    }
}
