package org.cranberrybend.core.account;

/**
 * A class of requests with its latency targets, as allowed by a {@link Template}.
 *
 * @param name name by which callers choose the class
 * @param tier decides who is shed first
 * @param firstTokenTargetMs target for the time from acceptance to the first token, in milliseconds
 * @param interTokenTargetMs target for the time between two tokens, in milliseconds
 * @param guaranteedShareRatio share of served tokens that the class receives at least while it has waiting work
 */
public record RequestClass(
        String name, Tier tier, long firstTokenTargetMs, long interTokenTargetMs, double guaranteedShareRatio) {
    public RequestClass {
        Checks.name("name", name);
        if (tier == null) {
            throw new IllegalArgumentException("tier is missing");
        }
        Checks.range("first_token_target_ms", firstTokenTargetMs, 1, 3_600_000);
        Checks.range("inter_token_target_ms", interTokenTargetMs, 1, 60_000);
        Checks.range("guaranteed_share_ratio", guaranteedShareRatio, 0, 0.5);
    }
}
