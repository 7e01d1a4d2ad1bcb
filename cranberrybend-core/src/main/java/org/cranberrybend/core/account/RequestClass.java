package org.cranberrybend.core.account;

/**
 * A class of requests with its latency targets, as allowed by a {@link Template}.
 *
 * @param name name by which callers select the class
 * @param tier tier, which decides the order of service and of shedding
 * @param firstTokenTargetMs target for the time to first token, counted from acceptance, in milliseconds
 * @param interTokenTargetMs target for the time between two tokens, in milliseconds
 * @param guaranteedShareRatio minimum share of the served tokens that the class receives while it has waiting requests
 */
public record RequestClass(
        String name, Tier tier, long firstTokenTargetMs, long interTokenTargetMs, double guaranteedShareRatio) {
    public RequestClass {
        Checks.requireName("name", name);
        if (tier == null) {
            throw new IllegalArgumentException("tier is missing");
        }
        Checks.requireRange("first_token_target_ms", firstTokenTargetMs, 1, 3_600_000);
        Checks.requireRange("inter_token_target_ms", interTokenTargetMs, 1, 60_000);
        Checks.requireRange("guaranteed_share_ratio", guaranteedShareRatio, 0, 0.5);
    }
}
