package org.cranberrybend.core.account;

/**
 * A model that callers can request.
 *
 * @param maxOutputTokens maximum number of output tokens per request
 * @param contextTokens context window: maximum number of prompt and output tokens together
 */
public record ModelDefinition(int maxOutputTokens, int contextTokens) {
    public ModelDefinition {
        Checks.requireRange("max_output_tokens", maxOutputTokens, 1, 1_000_000);
        Checks.requireRange("context_tokens", contextTokens, maxOutputTokens, 10_000_000);
    }
}
