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

/** Parses and validates completion requests, so that no upstream slot is used for an invalid one. */
public final class ModelRequestReader {
    // Average over the tokenizers in use for Hungarian, German, English and Spanish; for estimates only.
    private static final int CHARACTERS_PER_TOKEN = 4;

    private ModelRequestReader() {}

    /**
     * Parses a request body.
     *
     * @throws RequestFailedException if the body is not valid JSON, a field is missing, has a wrong type or is out of
     *     range, or the model is not available to the account
     */
    public static ModelRequest read(String path, byte[] body, ConfigurationView view, Template template)
            throws RequestFailedException {
        ObjectNode json = parseObject(body);
        String model = requiredString(json, "model");
        ModelDefinition definition = view.models().get(model);
        if (definition == null || !template.models().contains(model)) {
            throw RequestFailedException.notRun(ErrorCode.MODEL_UNKNOWN, TextSanitizer.sanitize(model));
        }
        boolean stream = optionalBoolean(json, "stream");
        long promptCharacters =
                path.equals(ModelRequest.CHAT_PATH) ? checkMessages(json) : checkPrompt(json.path("prompt"));
        long promptTokens = 1 + promptCharacters / CHARACTERS_PER_TOKEN;
        int maxTokens = maxTokens(json, definition);
        if (promptTokens >= definition.contextTokens()) {
            throw invalidField(
                    path.equals(ModelRequest.CHAT_PATH) ? "messages" : "prompt",
                    "exceeds the model's context of " + definition.contextTokens() + " tokens");
        }
        checkRange(json, "temperature", 0, 2);
        checkRange(json, "top_p", 0, 1);
        checkSingleChoice(json);
        return new ModelRequest(path, model, stream, promptTokens, maxTokens, json);
    }

    private static ObjectNode parseObject(byte[] body) throws RequestFailedException {
        try {
            // Jackson would silently replace invalid UTF-8.
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
            // The parser's message quotes the body, which error messages must not contain.
            String position = e.getLocation() == null
                    ? "unknown position"
                    : "line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            throw RequestFailedException.notRun(ErrorCode.INVALID_JSON, position);
        }
    }

    private static String requiredString(JsonNode json, String field) throws RequestFailedException {
        JsonNode value = json.get(field);
        if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
            throw invalidField(field, "must be a non-empty string");
        }
        return value.textValue();
    }

    private static boolean optionalBoolean(JsonNode json, String field) throws RequestFailedException {
        JsonNode value = json.get(field);
        if (value == null || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw invalidField(field, "must be true or false");
        }
        return value.booleanValue();
    }

    private static long checkMessages(JsonNode json) throws RequestFailedException {
        JsonNode messages = json.get("messages");
        if (messages == null || !messages.isArray() || messages.isEmpty()) {
            throw invalidField("messages", "must be a non-empty array");
        }
        long characters = 0;
        for (int i = 0; i < messages.size(); i++) {
            JsonNode message = messages.get(i);
            String field = "messages[" + i + "]";
            if (!message.isObject()) {
                throw invalidField(field, "must be an object");
            }
            if (!message.path("role").isTextual()) {
                throw invalidField(field + ".role", "must be a string");
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
            // An assistant message with only tool calls has no content.
            return 0;
        }
        throw invalidField(field, "must be a string or an array of parts");
    }

    private static long checkPrompt(JsonNode prompt) throws RequestFailedException {
        if (!prompt.isTextual()) {
            throw invalidField("prompt", "must be a string");
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
            throw invalidField(field, "must be a whole number between 1 and " + definition.maxOutputTokens());
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
            throw invalidField(field, "must be a number between " + least + " and " + most);
        }
    }

    /**
     * Refuses more than one choice per request: an interrupted stream of several choices has no single resume offset.
     */
    private static void checkSingleChoice(JsonNode json) throws RequestFailedException {
        JsonNode count = json.get("n");
        if (count != null && !count.isNull() && !(count.isIntegralNumber() && count.asLong() == 1)) {
            throw invalidField("n", "must be 1");
        }
    }

    private static RequestFailedException invalidField(String field, String reason) {
        return RequestFailedException.notRun(ErrorCode.INVALID_FIELD, field, reason);
    }
}
