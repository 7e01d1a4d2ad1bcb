package org.cranberrybend.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.runtime.http.HttpResult;

/** HTTP client for the platform's leases. */
public final class LeaseClient implements LeaseService, AutoCloseable {
    private static final long READ_TIMEOUT_MS = 2_000;

    private final PlatformHttpClient client;

    /** Creates a client for the platform at the given address. */
    public LeaseClient(URI platformUri) {
        this.client = new PlatformHttpClient(platformUri, READ_TIMEOUT_MS);
    }

    @Override
    public Optional<LeaseGrant> acquire(String name, String holder, long ttlMs) throws PlatformException {
        String call = "acquire " + name;
        HttpResult result = client.callJson("POST", path(name), Map.of("holder", holder, "ttl_ms", ttlMs));
        if (result.status() == 409) {
            return Optional.empty();
        }
        if (result.status() != 200) {
            throw new PlatformException(call, result.status());
        }
        JsonNode grant = PlatformHttpClient.json(call, result);
        return Optional.of(new LeaseGrant(
                grant.path("lease_id").asText(),
                grant.path("fencing_number").asLong(),
                grant.path("ttl_ms").asLong()));
    }

    @Override
    public boolean renew(String name, String leaseId) throws PlatformException {
        HttpResult result = client.callJson("POST", path(name) + "/renew", Map.of("lease_id", leaseId));
        if (result.status() != 200 && result.status() != 404) {
            throw new PlatformException("renew " + name, result.status());
        }
        return result.status() == 200;
    }

    @Override
    public void release(String name, String leaseId) throws PlatformException {
        HttpResult result = client.call("DELETE", path(name) + "?lease_id=" + PlatformHttpClient.encode(leaseId), null);
        if (!result.isSuccess() && result.status() != 404) {
            throw new PlatformException("release " + name, result.status());
        }
    }

    private static String path(String name) {
        return "/v1/leases/" + name;
    }

    @Override
    public void close() {
        client.close();
    }
}
