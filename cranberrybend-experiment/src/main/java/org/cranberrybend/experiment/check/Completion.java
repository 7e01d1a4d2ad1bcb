package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;

/**
 * A completion request in one of the two forms of the protocol.
 *
 * @param chat whether it is a chat completion
 * @param model model
 * @param prompt prompt, or text of the one message
 * @param maxTokens bound of the output tokens
 */
public record Completion(boolean chat, String model, String prompt, int maxTokens) {
    /** Returns the path of the form. */
    public String path() {
        return chat ? "/v1/chat/completions" : "/v1/completions";
    }

    /** Returns the messages, which the stand-in engine takes as the prompt in their canonical form. */
    public JsonNode messages() {
        return CanonicalJson.mapper().valueToTree(List.of(Map.of("role", "user", "content", prompt)));
    }

    /** Returns the request body. */
    public String body(boolean stream) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("model", model);
        fields.put("max_tokens", maxTokens);
        fields.put("stream", stream);
        if (chat) {
            fields.put("messages", messages());
        } else {
            fields.put("prompt", prompt);
        }
        return CanonicalJson.write(fields);
    }

    /** Returns the text of a whole answer. */
    public String textOf(JsonNode answer) {
        JsonNode choice = answer.path("choices").path(0);
        return chat
                ? choice.path("message").path("content").asText()
                : choice.path("text").asText();
    }
}
