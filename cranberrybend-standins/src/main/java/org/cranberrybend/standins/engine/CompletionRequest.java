package org.cranberrybend.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.http.HttpStatusException;
import org.cranberrybend.standins.server.ReceivedRequest;

/**
 * A request for generated text.
 *
 * @param requestId value of X-Request-Id; empty if absent
 * @param chat whether it uses the chat form of the protocol
 * @param model model named by the caller
 * @param stream whether the response is streamed
 * @param priority tier; lower goes first
 * @param resumeFrom count of tokens that the caller already has
 * @param outputTokens count of tokens of the whole response, including those before {@code resumeFrom}
 * @param bounded whether the caller set the count of tokens
 * @param text text to be generated
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
     * Reads a request.
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
        JsonNode bound = body.hasNonNull("max_tokens") ? body.get("max_tokens") : body.path("max_completion_tokens");
        boolean bounded = bound.isNumber();
        GeneratedText text = new GeneratedText(prompt.isTextual() ? prompt.asText() : CanonicalJson.write(prompt));
        int outputTokens = bounded ? bound.asInt() : text.defaultOutputTokens();
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
                bounded,
                text);
    }
}
