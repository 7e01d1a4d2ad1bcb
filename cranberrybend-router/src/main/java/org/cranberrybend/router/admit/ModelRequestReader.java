package org.cranberrybend.router.admit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.cranberrybend.core.account.ModelDefinition;
import org.cranberrybend.core.account.Template;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;

/** Reads and checks the bodies of chat and text completions, so that no upstream slot is spent on a faulty one. */
public final class ModelRequestReader {
    // Average of the tokenizers in use for Hungarian, German, English and Spanish; only used for estimates.
    private static final int CHARACTERS_PER_TOKEN = 4;

    private ModelRequestReader() {}

    /**
     * Reads a body.
     *
     * @throws RequestFailedException if a field is missing, has a wrong type or is out of range, or the model is not
     *     open to the account
     */
    public static ModelRequest read(String path, byte[] body, ConfigurationView view, Template template)
            throws RequestFailedException {
        ObjectNode json = parse(body);
        String model = text(json, "model");
        ModelDefinition definition = view.models().get(model);
        if (definition == null || !template.models().contains(model)) {
            throw RequestFailedException.notRun(ErrorCode.MODEL_UNKNOWN, SafeText.of(model));
        }
        boolean stream = flag(json, "stream");
        long promptCharacters =
                path.equals(ModelRequest.CHAT_PATH) ? checkMessages(json) : checkPrompt(json.path("prompt"));
        long promptTokens = 1 + promptCharacters / CHARACTERS_PER_TOKEN;
        int maxTokens = maxTokens(json, definition);
        if (promptTokens >= definition.contextTokens()) {
            throw invalid(
                    path.equals(ModelRequest.CHAT_PATH) ? "messages" : "prompt",
                    "exceeds the model's context of " + definition.contextTokens() + " tokens");
        }
        checkRange(json, "temperature", 0, 2);
        checkRange(json, "top_p", 0, 1);
        checkSingle(json);
        return new ModelRequest(path, model, stream, promptTokens, maxTokens, json);
    }

    private static ObjectNode parse(byte[] body) throws RequestFailedException {
        try {
            // Jackson would replace invalid bytes silently.
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body))
                    .toString();
            JsonNode node = CanonicalJson.mapper().readTree(text);
            if (node instanceof ObjectNode) {
                return (ObjectNode) node;
            }
            throw RequestFailedException.notRun(ErrorCode.INVALID_JSON, "the body must be an object");
        } catch (CharacterCodingException e) {
            throw RequestFailedException.notRun(ErrorCode.INVALID_JSON, "the body is not UTF-8");
        } catch (JsonProcessingException e) {
            // The parser's message quotes the caller's text, which errors must not contain.
            String position = e.getLocation() == null
                    ? "unknown position"
                    : "line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw RequestFailedException.notRun(ErrorCode.INVALID_JSON, position);
        }
    }

    private static String text(JsonNode json, String field) throws RequestFailedException {
        JsonNode value = json.get(field);
        if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
            throw invalid(field, "must be a non-empty text");
        }
        return value.textValue();
    }

    private static boolean flag(JsonNode json, String field) throws RequestFailedException {
        JsonNode value = json.get(field);
        if (value == null || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw invalid(field, "must be true or false");
        }
        return value.booleanValue();
    }

    private static long checkMessages(JsonNode json) throws RequestFailedException {
        JsonNode messages = json.get("messages");
        if (messages == null || !messages.isArray() || messages.isEmpty()) {
            throw invalid("messages", "must be a non-empty array");
        }
        long characters = 0;
        for (int i = 0; i < messages.size(); i++) {
            JsonNode message = messages.get(i);
            String field = "messages[" + i + "]";
            if (!message.isObject()) {
                throw invalid(field, "must be an object");
            }
            if (!message.path("role").isTextual()) {
                throw invalid(field + ".role", "must be a text");
            }
            characters += contentCharacters(field + ".content", message.path("content"));
        }
        return characters;
    }

    private static long contentCharacters(String field, JsonNode content) throws RequestFailedException {
        if (content.isTextual()) {
            return content.textValue().length();
        }
        if (content.isArray()) {
            long characters = 0;
            for (JsonNode part : content) {
                characters += part.path("text").asText("").length();
            }
            return characters;
        }
        if (content.isNull() || content.isMissingNode()) {
            // An assistant message that only calls tools has no content.
            return 0;
        }
        throw invalid(field, "must be a text or an array of parts");
    }

    private static long checkPrompt(JsonNode prompt) throws RequestFailedException {
        if (!prompt.isTextual()) {
            throw invalid("prompt", "must be a text");
        }
        return prompt.textValue().length();
    }

    private static int maxTokens(JsonNode json, ModelDefinition definition) throws RequestFailedException {
        String field = json.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode value = json.get(field);
        if (value == null || value.isNull()) {
            return definition.maxOutputTokens();
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToInt()
                || value.intValue() < 1
                || value.intValue() > definition.maxOutputTokens()) {
            throw invalid(field, "must be a whole number between 1 and " + definition.maxOutputTokens());
        }
        return value.intValue();
    }

    private static void checkRange(JsonNode json, String field, double least, double most)
            throws RequestFailedException {
        JsonNode value = json.get(field);
        if (value == null || value.isNull()) {
            return;
        }
        if (!value.isNumber() || value.doubleValue() < least || value.doubleValue() > most) {
            throw invalid(field, "must be a number between " + least + " and " + most);
        }
    }

    /** Refuses more than one answer per request: an interrupted stream could not be resumed at one offset. */
    private static void checkSingle(JsonNode json) throws RequestFailedException {
        JsonNode count = json.get("n");
        if (count != null && !count.isNull() && !(count.isIntegralNumber() && count.asLong() == 1)) {
            throw invalid("n", "must be 1");
        }
    }

    private static RequestFailedException invalid(String field, String reason) {
        return RequestFailedException.notRun(ErrorCode.INVALID_FIELD, field, reason);
    }
}
