package org.cranberrybend.router.dispatch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.retry.StreamPosition;
import org.cranberrybend.router.accept.CallerDisconnectedException;
import org.cranberrybend.router.accept.CallerResponse;
import org.cranberrybend.router.accept.CallerResponse.StreamSink;
import org.cranberrybend.router.accept.ErrorBody;
import org.cranberrybend.router.admit.ModelRequest;

/**
 * Relays one streamed completion event by event and resumes it on another engine if it is interrupted.
 *
 * <p>The response to the caller starts with the first event, so earlier failures are retried like those of a
 * non-streaming response. A stream is complete only after the engine's final {@code [DONE]}; a stream that ends
 * otherwise and cannot be resumed is ended with an error event.
 */
final class StreamRelay {
    private final DispatchEnvironment environment;
    private final RequestContext context;
    private final ModelRequest model;
    private final Attempts attempts;
    private StreamPosition position = StreamPosition.START;
    private boolean finishSent;
    private boolean resumed;
    private DispatchResult result = DispatchResult.COMPLETED;

    /** A response of an engine whose headers were received, with the slot that it uses. */
    private static final class EngineStream implements AutoCloseable {
        private final AcquiredSlot slot;
        private final UpstreamResponse response;
        private final SseReader reader;
        private SseEvent event;

        EngineStream(AcquiredSlot slot, UpstreamResponse response) {
            this.slot = slot;
            this.response = response;
            this.reader = new SseReader(response);
        }

        void end(SlotResult slotResult) {
            response.close();
            slot.release(slotResult);
        }

        @Override
        public void close() {
            end(SlotResult.CANCELLED);
        }
    }

    StreamRelay(DispatchEnvironment environment, RequestContext context, ModelRequest model, Attempts attempts) {
        this.environment = environment;
        this.context = context;
        this.model = model;
        this.attempts = attempts;
    }

    DispatchResult run(CallerResponse response)
            throws RequestFailedException, CallAbortedException, CallerDisconnectedException, InterruptedException {
        EngineStream first = open();
        if (first.response.status() != 200) {
            return relayErrorResponse(first, response);
        }
        try (first) {
            response.sendStream(sink -> relay(first, sink));
        }
        return result;
    }

    /** Starts an attempt and waits for its first event; retries on other engines until one has started. */
    private EngineStream open() throws RequestFailedException, CallAbortedException, InterruptedException {
        while (true) {
            AcquiredSlot slot = attempts.acquire();
            UpstreamResponse response = null;
            boolean opened = false;
            try {
                UpstreamCall call = ModelDispatcher.createCall(environment, context, model, position.tokens());
                response = environment.client().open(slot.upstream(), call, context::checkNotAborted);
                ModelDispatcher.checkStatus(response.status());
                EngineStream stream = new EngineStream(slot, response);
                if (response.status() == 200) {
                    stream.event = stream.reader.next();
                    if (stream.event == null) {
                        throw UpstreamFailure.outcomeUnknown("the stream has no event");
                    }
                } else if (position.tokens() > 0) {
                    throw UpstreamFailure.outcomeUnknown("it answered with status " + response.status());
                }
                opened = true;
                return stream;
            } catch (UpstreamFailure failure) {
                slot.release(failure.result());
                EventCode code = position.tokens() > 0 ? EventCode.REQUEST_RESUMED : EventCode.REQUEST_RETRIED;
                if (!attempts.prepareRetry(slot, failure, code)) {
                    throw attempts.toCallerError(failure);
                }
            } finally {
                if (!opened) {
                    if (response != null) {
                        response.close();
                    }
                    slot.close();
                }
            }
        }
    }

    private DispatchResult relayErrorResponse(EngineStream stream, CallerResponse response)
            throws RequestFailedException, CallAbortedException, CallerDisconnectedException {
        try (stream) {
            byte[] body = stream.response.readAll(ModelDispatcher.MAX_RESPONSE_BYTES);
            stream.end(SlotResult.COMPLETED);
            String contentType = stream.response.header("Content-Type").orElse("application/json");
            response.send(stream.response.status(), List.of(), body, contentType);
            context.setDelivered(0, 0);
            return DispatchResult.COMPLETED;
        } catch (UpstreamFailure failure) {
            stream.end(failure.result());
            throw attempts.toCallerError(failure);
        }
    }

    private void relay(EngineStream first, StreamSink sink) throws CallerDisconnectedException, InterruptedException {
        EngineStream stream = first;
        try {
            while (true) {
                UpstreamFailure failure;
                try {
                    relayEvents(stream, sink);
                    stream.end(SlotResult.COMPLETED);
                    attempts.recordSuccess();
                    return;
                } catch (UpstreamFailure e) {
                    failure = e;
                }
                stream.end(failure.result());
                boolean mayResume = !failure.isDiscontinuous()
                        && attempts.prepareRetry(stream.slot, failure, EventCode.REQUEST_RESUMED);
                if (!mayResume) {
                    endWithError(sink, upstreamCutError());
                    return;
                }
                resumed = true;
                stream = open();
            }
        } catch (CallAbortedException e) {
            if (!e.isKeyRevoked()) {
                throw new CallerDisconnectedException(e);
            }
            endWithError(sink, RequestFailedException.ran(ErrorCode.KEY_REVOKED));
        } catch (RequestFailedException e) {
            endWithError(sink, upstreamCutError());
        } finally {
            stream.close();
        }
    }

    private RequestFailedException upstreamCutError() {
        return RequestFailedException.ran(ErrorCode.UPSTREAM_CUT, position.tokens());
    }

    private void endWithError(StreamSink sink, RequestFailedException failure) throws CallerDisconnectedException {
        result = new DispatchResult(failure.code());
        sink.write(ErrorBody.toEvent(failure, context.requestId()));
    }

    private void relayEvents(EngineStream stream, StreamSink sink)
            throws UpstreamFailure, CallAbortedException, CallerDisconnectedException {
        while (stream.event != null) {
            context.checkKeyNotRevoked();
            SseEvent event = stream.event;
            if (event.isDone()) {
                stream.reader.next();
                sink.write(event.raw());
                return;
            }
            relayEvent(stream, event, sink);
            stream.event = stream.reader.next();
        }
        throw UpstreamFailure.outcomeUnknown("the stream ended without " + SseEvent.DONE);
    }

    private void relayEvent(EngineStream stream, SseEvent event, StreamSink sink)
            throws UpstreamFailure, CallerDisconnectedException {
        if (event.data().isEmpty()) {
            sink.write(event.raw());
            return;
        }
        JsonNode json = parse(event);
        JsonNode choice = json.path("choices").path(0);
        String text = choice.path("delta").path("content").asText("")
                + choice.path("text").asText("");
        boolean finish = choice.hasNonNull("finish_reason");
        if (resumed && (finishSent || (text.isEmpty() && !finish && !json.has("usage")))) {
            // The caller already received the initial event, and possibly the final one, from the interrupted stream.
            return;
        }
        StreamPosition next = text.isEmpty() ? position : position.advance(text);
        JsonNode total = json.path("usage").path("completion_tokens");
        if (resumed && total.isIntegralNumber() && !next.matchesTotal(total.asLong())) {
            throw UpstreamFailure.discontinuous(position.tokens());
        }
        sink.write(event.raw());
        position = next;
        finishSent |= finish;
        if (!text.isEmpty()) {
            stream.slot.addOutputTokens(1);
        }
        stream.slot.setPromptTokens(model.promptTokens());
        long promptTokens = json.path("usage").path("prompt_tokens").asLong(model.promptTokens());
        context.setDelivered(promptTokens, position.tokens());
    }

    private static JsonNode parse(SseEvent event) throws UpstreamFailure {
        JsonNode json;
        try {
            json = CanonicalJson.mapper().readTree(event.data());
        } catch (JsonProcessingException e) {
            throw UpstreamFailure.outcomeUnknown("an event is not JSON");
        }
        if (json.has("error")) {
            throw UpstreamFailure.outcomeUnknown("the stream ended with an error event");
        }
        return json;
    }
}
