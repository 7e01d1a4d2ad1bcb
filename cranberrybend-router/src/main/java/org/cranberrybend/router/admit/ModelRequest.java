package org.cranberrybend.router.admit;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A validated chat or text completion request.
 *
 * @param path request path, {@link #CHAT_PATH} or {@link #TEXT_PATH}
 * @param model name of the model
 * @param stream whether the caller requested server-sent events
 * @param promptTokens estimated prompt tokens
 * @param maxTokens limit on output tokens
 * @param json body as sent by the caller
 */
public record ModelRequest(
        String path, String model, boolean stream, long promptTokens, int maxTokens, ObjectNode json) {
    /** Path of chat completions. */
    public static final String CHAT_PATH = "/v1/chat/completions";

    /** Path of text completions. */
    public static final String TEXT_PATH = "/v1/completions";

    // The output length is unknown in advance. Most responses end far below their limit, so charging the limit would
    // refuse too many requests.
    private static final int TYPICAL_OUTPUT_TOKENS = 256;

    /** Returns the estimated number of output tokens. */
    public long expectedOutputTokens() {
        return Math.min(maxTokens, TYPICAL_OUTPUT_TOKENS);
    }
}
