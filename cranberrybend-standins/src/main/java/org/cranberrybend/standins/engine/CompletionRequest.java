package org.cranberrybend.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.HttpStatusException;
import org.cranberrybend.standins.server.ReceivedRequest;

/**
 * A completion request.
 *
 * @param requestId value of X-Request-Id; empty if absent
 * @param chat whether it was sent to the chat completion endpoint
 * @param model model requested by the caller; empty if absent
 * @param stream whether the response is streamed
 * @param priority tier; a lower number is scheduled first
 * @param resumeFrom number of tokens that the caller already has
 * @param outputTokens number of tokens of the complete response, including those before {@code resumeFrom}
 * @param hasMaxTokens whether the caller set the number of tokens
 * @param text text to generate
 */
public record CompletionRequest(
        String requestId,
        boolean chat,
        String model,
        boolean stream,
        int priority,
        int resumeFrom,
        int outputTokens,
        boolean hasMaxTokens,
        GeneratedText text) {
    private static final int LOWEST_TIER = 3;
    private static final int MAX_OUTPUT_TOKENS = 1_000_000;

    /**
     * Parses a request.
     *
     * @throws HttpStatusException with status 400 if the body is not valid
     */
    public static CompletionRequest read(ReceivedRequest received) throws HttpStatusException {
        JsonNode body =
                received.bodyObject().orElseThrow(() -> new HttpStatusException(400, "body must be a JSON object"));
        boolean chat = received.path().endsWith("/chat/completions");
        JsonNode prompt = body.path(chat ? "messages" : "prompt");
        if (prompt.isMissingNode() || (chat && !prompt.isArray())) {
            throw new HttpStatusException(400, chat ? "messages must be an array" : "prompt is missing");
        }
        JsonNode maxTokens =
                body.hasNonNull("max_tokens") ? body.get("max_tokens") : body.path("max_completion_tokens");
        boolean hasMaxTokens = maxTokens.isNumber();
        GeneratedText text = new GeneratedText(prompt.isTextual() ? prompt.asText() : CanonicalJson.write(prompt));
        int outputTokens = hasMaxTokens ? maxTokens.asInt() : text.defaultOutputTokens();
        int resumeFrom = body.path("resume_from").asInt(0);
        if (outputTokens < 1 || outputTokens > MAX_OUTPUT_TOKENS || resumeFrom < 0) {
            throw new HttpStatusException(
                    400, "max_tokens must be between 1 and " + MAX_OUTPUT_TOKENS + "; resume_from at least 0");
        }
        return new CompletionRequest(
                received.header("X-Request-Id").orElse(""),
                chat,
                body.path("model").asText(""),
                body.path("stream").asBoolean(false),
                body.path("priority").asInt(LOWEST_TIER),
                Math.min(resumeFrom, outputTokens),
                outputTokens,
                hasMaxTokens,
                text);
    }
}
