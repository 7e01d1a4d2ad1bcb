package org.cranberrybend.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cranberrybend.core.configuration.CanonicalJson;

/** Formats response bodies of the standard completion protocol. */
final class CompletionProtocol {
    private static final String DONE_EVENT = "data: [DONE]\n\n";

    private CompletionProtocol() {}

    /** Returns the server-sent event of one token. */
    static String tokenEvent(CompletionRequest request, String token) {
        ObjectNode body = newResponseObject(request, true);
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("delta").put("content", token);
        } else {
            choice.put("text", token);
        }
        return "data: " + CanonicalJson.write(body) + "\n\n";
    }

    /** Returns the last event, with the usage of the complete response, and the {@code [DONE]} terminator. */
    static String finalEvents(CompletionRequest request) {
        ObjectNode body = newResponseObject(request, true);
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        if (request.chat()) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason(request));
        addUsage(body, request);
        return "data: " + CanonicalJson.write(body) + "\n\n" + DONE_EVENT;
    }

    /** Returns the body of a non-streaming response. */
    static String responseBody(CompletionRequest request) {
        ObjectNode body = newResponseObject(request, false);
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        String text = request.text().text(request.resumeFrom(), request.outputTokens());
        if (request.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason(request));
        addUsage(body, request);
        return CanonicalJson.write(body);
    }

    private static ObjectNode newResponseObject(CompletionRequest request, boolean chunk) {
        String kind = request.chat() ? (chunk ? "chat.completion.chunk" : "chat.completion") : "text_completion";
        return CanonicalJson.mapper()
                .createObjectNode()
                .put("id", "cmpl-" + request.requestId())
                .put("object", kind)
                .put("model", request.model());
    }

    private static String finishReason(CompletionRequest request) {
        return request.hasMaxTokens() ? "length" : "stop";
    }

    /** Adds the usage. Completion tokens include those before {@code resume_from}, so they count the complete text. */
    private static void addUsage(ObjectNode body, CompletionRequest request) {
        int promptTokens = request.text().promptTokens();
        body.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", request.outputTokens())
                .put("total_tokens", promptTokens + request.outputTokens());
    }
}
