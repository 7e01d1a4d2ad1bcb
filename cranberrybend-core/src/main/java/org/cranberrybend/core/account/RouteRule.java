package org.cranberrybend.core.account;

import java.util.List;

/**
 * A route to a plain service.
 *
 * @param pathPrefix path prefix that selects the route; the longest match wins
 * @param service name of the service; upstreams that announce it receive the requests
 * @param methods HTTP methods allowed
 * @param idempotent whether a request may be sent to an upstream more than once
 * @param idempotencyKeyRequired whether callers must send an Idempotency-Key
 * @param openToAll whether requests need no key
 * @param timeoutMs bound on the whole call, in milliseconds
 * @param keyHeaders further header names in which callers send keys; removed before forwarding
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
        Checks.name("service", service);
        methods = methods == null || methods.isEmpty() ? List.of("POST") : List.copyOf(methods);
        timeoutMs = timeoutMs == 0 ? DEFAULT_TIMEOUT_MS : timeoutMs;
        Checks.range("timeout_ms", timeoutMs, 1, 600_000);
        keyHeaders = keyHeaders == null ? List.of() : List.copyOf(keyHeaders);
        if (idempotent && idempotencyKeyRequired) {
            throw new IllegalArgumentException("idempotency_key_required is for routes that are not idempotent");
        }
    }
}
