package org.cranberrybend.core.account;

import java.util.List;

/**
 * A route to a plain service.
 *
 * @param pathPrefix path prefix of the route; the longest matching prefix wins
 * @param service name of the plain service; requests go to upstreams that list it
 * @param methods allowed HTTP methods; {@code POST} if none are given
 * @param idempotent whether a request may be sent to upstreams more than once
 * @param idempotencyKeyRequired whether callers must send an Idempotency-Key
 * @param openToAll whether anonymous requests, without an API key, are allowed
 * @param timeoutMs time limit for the whole request in milliseconds; 0 for the default of 30 s
 * @param keyHeaders additional header names in which callers may send API keys; removed before forwarding
 */
public record RouteRule(
        String pathPrefix,
        String service,
        List<String> methods,
        boolean idempotent,
        boolean idempotencyKeyRequired,
        boolean openToAll,
        long timeoutMs,
        List<String> keyHeaders) {
    private static final long DEFAULT_TIMEOUT_MS = 30_000;

    public RouteRule {
        if (pathPrefix == null || !pathPrefix.startsWith("/")) {
            throw new IllegalArgumentException("path_prefix must start with '/': " + pathPrefix);
        }
        if (pathPrefix.equals("/") || pathPrefix.equals("/v1") || pathPrefix.startsWith("/v1/")) {
            throw new IllegalArgumentException(
                    "path_prefix must not cover the model interface under /v1: " + pathPrefix);
        }
        Checks.requireName("service", service);
        methods = methods == null || methods.isEmpty() ? List.of("POST") : List.copyOf(methods);
        timeoutMs = timeoutMs == 0 ? DEFAULT_TIMEOUT_MS : timeoutMs;
        Checks.requireRange("timeout_ms", timeoutMs, 1, 600_000);
        keyHeaders = keyHeaders == null ? List.of() : List.copyOf(keyHeaders);
        if (idempotent && idempotencyKeyRequired) {
            throw new IllegalArgumentException("idempotency_key_required is for routes that are not idempotent");
        }
    }
}
