package org.cranberrybend.core.account;

import java.util.List;
import java.util.Optional;

/**
 * Parameters shared by the client accounts that are made from it.
 *
 * @param requestClasses classes that the accounts may send; the first is the default
 * @param models names of the models open to the accounts
 * @param routes names of the routes to plain services open to the accounts
 * @param maxConcurrentRequests bound on running and waiting requests of one account in one availability zone
 * @param tokensPerMinute bound on tokens of one account per availability zone; 0 means no bound
 * @param weightRatio weight of the account in the fair division of capacity
 * @param cutOffServeSeconds how long an availability zone that hears nothing of the key-value service serves on
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
        Checks.range("max_concurrent_requests", maxConcurrentRequests, 1, 100_000);
        Checks.range("tokens_per_minute", tokensPerMinute, 0, 1e12);
        weightRatio = weightRatio == 0 ? 1 : weightRatio;
        Checks.range("weight_ratio", weightRatio, 0.01, 100);
        cutOffServeSeconds = cutOffServeSeconds == 0 ? DEFAULT_CUT_OFF_SERVE_SECONDS : cutOffServeSeconds;
        Checks.range("cut_off_serve_seconds", cutOffServeSeconds, 1, 31_536_000);
    }

    /** Returns the class with the given name, or the default class if the name is empty. */
    public Optional<RequestClass> requestClass(String name) {
        if (name.isEmpty()) {
            return Optional.of(requestClasses.get(0));
        }
        return requestClasses.stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
