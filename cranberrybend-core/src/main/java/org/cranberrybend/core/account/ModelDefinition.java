package org.cranberrybend.core.account;

/**
 * A model that callers may name.
 *
 * @param maxOutputTokens bound on output tokens per request
 * @param contextTokens bound on prompt tokens plus output tokens
 */
public record ModelDefinition(int maxOutputTokens, int contextTokens) {
    public ModelDefinition {
        Checks.range("max_output_tokens", maxOutputTokens, 1, 1_000_000);
        Checks.range("context_tokens", contextTokens, maxOutputTokens, 10_000_000);
    }
}
