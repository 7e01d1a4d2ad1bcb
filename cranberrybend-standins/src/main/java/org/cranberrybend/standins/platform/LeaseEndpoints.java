package org.cranberrybend.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.runtime.http.HttpStatusException;
import org.cranberrybend.runtime.http.JsonRequest;
import org.cranberrybend.runtime.http.JsonResponse;
import org.cranberrybend.runtime.http.JsonRouter;
import org.cranberrybend.standins.platform.LeaseTable.Lease;

/** HTTP endpoints of the leases. Lease calls count towards the write limit of the key-value store. */
final class LeaseEndpoints {
    private static final long MIN_TTL_MS = 100;
    private static final long MAX_TTL_MS = 600_000;

    private final LeaseTable leases;
    private final KeyValueEndpoints keyValue;

    LeaseEndpoints(LeaseTable leases, KeyValueEndpoints limits) {
        this.leases = leases;
        this.keyValue = limits;
    }

    void addTo(JsonRouter router) {
        router.on("POST", "/v1/leases/{name*}/renew", this::renew)
                .on("POST", "/v1/leases/{name*}", this::acquire)
                .on("DELETE", "/v1/leases/{name*}", this::release);
    }

    private JsonResponse acquire(JsonRequest request) throws HttpStatusException {
        keyValue.admitWrite("lease_acquire");
        String name = request.pathParameter("name");
        JsonNode body = request.json();
        String holder = body.path("holder").asText();
        long ttlMs = body.path("ttl_ms").asLong();
        if (holder.isEmpty() || ttlMs < MIN_TTL_MS || ttlMs > MAX_TTL_MS) {
            throw new HttpStatusException(
                    400, "holder must not be empty and ttl_ms must be between " + MIN_TTL_MS + " and " + MAX_TTL_MS);
        }
        Optional<Lease> granted = leases.acquire(name, holder, ttlMs);
        if (granted.isPresent()) {
            return leaseResponse(granted.get());
        }
        Optional<Lease> current = leases.current(name);
        return JsonResponse.json(
                409,
                Map.of(
                        "holder",
                        current.map(Lease::holder).orElse(""),
                        "remaining_ms",
                        current.map(leases::remainingMs).orElse(0L)));
    }

    private JsonResponse renew(JsonRequest request) throws HttpStatusException {
        keyValue.admitWrite("lease_renew");
        String name = request.pathParameter("name");
        String leaseId = request.json().path("lease_id").asText();
        Lease renewed = leases.renew(name, leaseId)
                .orElseThrow(() -> new HttpStatusException(404, "no such running lease: " + name));
        return leaseResponse(renewed);
    }

    private JsonResponse release(JsonRequest request) throws HttpStatusException {
        keyValue.admitWrite("lease_release");
        String name = request.pathParameter("name");
        if (!leases.release(name, request.queryParameter("lease_id").orElse(""))) {
            throw new HttpStatusException(404, "no such running lease: " + name);
        }
        return JsonResponse.json(200, Map.of());
    }

    private static JsonResponse leaseResponse(Lease lease) {
        return JsonResponse.json(
                200,
                Map.of(
                        "lease_id", lease.leaseId(),
                        "fencing_number", lease.fencingNumber(),
                        "ttl_ms", lease.ttlMs()));
    }
}
