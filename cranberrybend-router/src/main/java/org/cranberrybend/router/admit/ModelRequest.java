package org.cranberrybend.router.admit;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A checked chat or text completion.
 *
 * @param path path of the interface
 * @param model name of the model
 * @param stream whether the caller asked for server-sent events
 * @param promptTokens estimated prompt tokens
 * @param maxTokens bound on output tokens
 * @param json body as sent by the caller
 */
public record ModelRequest(
        String path, String model, boolean stream, long promptTokens, int maxTokens, ObjectNode json) {
    /** Path of chat completions. */
    public static final String CHAT_PATH = "/v1/chat/completions";

    /** Path of text completions. */
    public static final String TEXT_PATH = "/v1/completions";

    // Output lengths are unknown; most answers end far below their bound, and charging the bound would refuse them.
    private static final int TYPICAL_OUTPUT_TOKENS = 256;

    /** Returns the output tokens that are expected before any was seen. */
    public long expectedOutputTokens() {
        return Math.min(maxTokens, TYPICAL_OUTPUT_TOKENS);
    }
}
