package org.cranberrybend.core.account;

import java.util.List;
import java.util.Optional;

/**
 * Limits and permissions of the client accounts that refer to it.
 *
 * @param requestClasses request classes that the accounts may use; the first is the default
 * @param models names of the models that the accounts may use
 * @param routes names of the routes to plain services that the accounts may use
 * @param maxConcurrentRequests maximum number of in-flight and waiting requests of an account in one availability zone
 * @param tokensPerMinute maximum number of tokens per minute of an account in one availability zone; 0 for no limit
 * @param weightRatio weight of each account in fair queueing; 0 for the default of 1
 * @param cutOffServeSeconds how long an availability zone keeps serving while it cannot reach the key-value store, in
 *     seconds; 0 for the default of one day
 */
public record Template(
        List<RequestClass> requestClasses,
        List<String> models,
        List<String> routes,
        int maxConcurrentRequests,
        long tokensPerMinute,
        double weightRatio,
        long cutOffServeSeconds) {
    private static final long DEFAULT_CUT_OFF_SERVE_SECONDS = 86_400;

    public Template {
        requestClasses = requestClasses == null ? List.of() : List.copyOf(requestClasses);
        models = models == null ? List.of() : List.copyOf(models);
        routes = routes == null ? List.of() : List.copyOf(routes);
        if (requestClasses.isEmpty()) {
            throw new IllegalArgumentException("request_classes must name at least one class");
        }
        long distinct =
                requestClasses.stream().map(RequestClass::name).distinct().count();
        if (distinct != requestClasses.size()) {
            throw new IllegalArgumentException("request_classes must not name a class twice");
        }
        Checks.requireRange("max_concurrent_requests", maxConcurrentRequests, 1, 100_000);
        Checks.requireRange("tokens_per_minute", tokensPerMinute, 0, 1e12);
        weightRatio = weightRatio == 0 ? 1 : weightRatio;
        Checks.requireRange("weight_ratio", weightRatio, 0.01, 100);
        cutOffServeSeconds = cutOffServeSeconds == 0 ? DEFAULT_CUT_OFF_SERVE_SECONDS : cutOffServeSeconds;
        Checks.requireRange("cut_off_serve_seconds", cutOffServeSeconds, 1, 31_536_000);
    }

    /** Returns the class with the given name, or the default class if the name is empty. */
    public Optional<RequestClass> requestClass(String name) {
        if (name.isEmpty()) {
            return Optional.of(requestClasses.get(0));
        }
        return requestClasses.stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
