package org.cranberrybend.router.dispatch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.router.accept.CallerDisconnectedException;
import org.cranberrybend.router.accept.CallerResponse;
import org.cranberrybend.router.admit.ModelRequest;
import org.cranberrybend.router.io.DeadlineSocket;

/** Sends completions to engines. They are idempotent, so they are retried until the response to the caller starts. */
public final class ModelDispatcher {
    static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final String JSON = "application/json";
    // Bounds the wait for a slot and the start of attempts; a response in progress is bounded by read timeouts only.
    private static final long DISPATCH_DEADLINE_MS = 120_000;

    private final DispatchEnvironment environment;

    /** Creates a dispatcher. */
    public ModelDispatcher(DispatchEnvironment environment) {
        this.environment = environment;
    }

    /**
     * Serves a completion.
     *
     * @throws RequestFailedException if nothing was sent to the caller
     * @throws CallAbortedException if the caller disconnected or its key was revoked
     */
    public DispatchResult dispatch(RequestContext context, ModelRequest model, CallerResponse response)
            throws RequestFailedException, CallAbortedException, CallerDisconnectedException, InterruptedException {
        Attempts attempts = new Attempts(
                environment,
                context,
                model.promptTokens(),
                model.expectedOutputTokens(),
                context.arrivalMs() + DISPATCH_DEADLINE_MS);
        if (model.stream()) {
            return new StreamRelay(environment, context, model, attempts).run(response);
        }
        while (true) {
            try (AcquiredSlot slot = attempts.acquire()) {
                try {
                    return sendCompleteResponse(context, model, slot, response, attempts);
                } catch (UpstreamFailure failure) {
                    slot.release(failure.result());
                    if (!attempts.prepareRetry(slot, failure, EventCode.REQUEST_RETRIED)) {
                        throw attempts.toCallerError(failure);
                    }
                }
            }
        }
    }

    private DispatchResult sendCompleteResponse(
            RequestContext context, ModelRequest model, AcquiredSlot slot, CallerResponse response, Attempts attempts)
            throws UpstreamFailure, CallAbortedException, CallerDisconnectedException {
        UpstreamCall call = createCall(environment, context, model, 0);
        int status;
        String contentType;
        byte[] body;
        try (UpstreamResponse upstream = environment.client().open(slot.upstream(), call, context::checkNotAborted)) {
            status = upstream.status();
            checkStatus(status);
            contentType = upstream.header("Content-Type").orElse(JSON);
            body = upstream.readAll(MAX_RESPONSE_BYTES);
        }
        long promptTokens = 0;
        long outputTokens = 0;
        if (status == 200) {
            JsonNode usage = parse(body).path("usage");
            promptTokens = usage.path("prompt_tokens").asLong(model.promptTokens());
            outputTokens = usage.path("completion_tokens").asLong(0);
        }
        slot.setPromptTokens(promptTokens);
        slot.addOutputTokens(outputTokens);
        slot.release(SlotResult.COMPLETED);
        attempts.recordSuccess();
        response.send(status, List.of(), body, contentType);
        context.setDelivered(promptTokens, outputTokens);
        return DispatchResult.COMPLETED;
    }

    /** Fails for statuses that may not occur on another upstream: 429 and 5xx. */
    static void checkStatus(int status) throws UpstreamFailure {
        if (status >= 500 || status == 429) {
            throw UpstreamFailure.outcomeUnknown("it answered with status " + status);
        }
    }

    private static JsonNode parse(byte[] body) throws UpstreamFailure {
        try {
            return CanonicalJson.mapper().readTree(new String(body, StandardCharsets.UTF_8));
        } catch (JsonProcessingException e) {
            throw UpstreamFailure.outcomeUnknown("its answer is not JSON");
        }
    }

    /** Creates the call to an engine; {@code resumeFrom} is the number of tokens already delivered. */
    static UpstreamCall createCall(
            DispatchEnvironment environment, RequestContext context, ModelRequest model, long resumeFrom) {
        ObjectNode json = model.json().deepCopy();
        json.remove("resume_from");
        json.put("priority", context.requestClass().tier().number());
        if (resumeFrom > 0) {
            json.put("resume_from", resumeFrom);
        }
        String accept = model.stream() ? "text/event-stream" : JSON;
        return new UpstreamCall(
                context.requestId(),
                "POST",
                model.path(),
                List.of(new BasicHeader("Content-Type", JSON), new BasicHeader("Accept", accept)),
                json.toString().getBytes(StandardCharsets.UTF_8),
                true,
                true,
                environment.readTimeoutMs(),
                DeadlineSocket.UNBOUNDED);
    }
}
