package org.cranberrybend.experiment.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;

/**
 * A request for a chat completion or a text completion.
 *
 * @param chat true for a chat completion, false for a text completion
 * @param model name of the model
 * @param prompt prompt; in a chat completion, the content of the only message
 * @param maxTokens limit on output tokens
 */
public record Completion(boolean chat, String model, String prompt, int maxTokens) {
    /** Returns the path of the endpoint. */
    public String path() {
        return chat ? "/v1/chat/completions" : "/v1/completions";
    }

    /** Returns the messages of a chat completion; the stand-in engine uses their canonical JSON as the prompt. */
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

    /** Returns the generated text of a response that was not streamed. */
    public String textOf(JsonNode response) {
        JsonNode choice = response.path("choices").path(0);
        return chat
                ? choice.path("message").path("content").asText()
                : choice.path("text").asText();
    }
}
