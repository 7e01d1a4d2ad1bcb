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
import org.cranberrybend.router.accept.CallerGoneException;
import org.cranberrybend.router.accept.CallerResponse;
import org.cranberrybend.router.accept.CallerResponse.StreamSink;
import org.cranberrybend.router.accept.ErrorBody;
import org.cranberrybend.router.admit.ModelRequest;

/**
 * Passes one streamed completion on, event by event, and resumes it on another engine when it is interrupted.
 *
 * <p>The response to the caller begins with the first event, so failures before it are retried like those of a whole
 * answer. A stream is complete only with the engine's final {@code [DONE]}; any other end is an error event.
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

    /** An engine's answer that has begun. */
    private static final class Source implements AutoCloseable {
        private final SlotUse use;
        private final UpstreamResponse response;
        private final SseReader reader;
        private SseEvent event;

        Source(SlotUse use, UpstreamResponse response) {
            this.use = use;
            this.response = response;
            this.reader = new SseReader(response);
        }

        void end(SlotResult slotResult) {
            response.close();
            use.release(slotResult);
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
            throws RequestFailedException, CallAbortedException, CallerGoneException, InterruptedException {
        Source first = open();
        if (first.response.status() != 200) {
            return passError(first, response);
        }
        try (first) {
            response.sendStream(sink -> relay(first, sink));
        }
        return result;
    }

    /** Begins an attempt and waits for its first event; retries on other engines until one has begun. */
    private Source open() throws RequestFailedException, CallAbortedException, InterruptedException {
        while (true) {
            SlotUse use = attempts.acquire();
            UpstreamResponse response = null;
            boolean opened = false;
            try {
                UpstreamCall call = ModelDispatcher.call(environment, context, model, position.tokens());
                response = environment.client().open(use.upstream(), call, context::checkWanted);
                ModelDispatcher.checkStatus(response.status());
                Source source = new Source(use, response);
                if (response.status() == 200) {
                    source.event = source.reader.next();
                    if (source.event == null) {
                        throw UpstreamFailure.broken("the stream has no event");
                    }
                } else if (position.tokens() > 0) {
                    throw UpstreamFailure.broken("it answered with status " + response.status());
                }
                opened = true;
                return source;
            } catch (UpstreamFailure failure) {
                use.release(failure.result());
                EventCode code = position.tokens() > 0 ? EventCode.REQUEST_RESUMED : EventCode.REQUEST_RETRIED;
                if (!attempts.mayRetry(use, failure, code)) {
                    throw attempts.toCallerError(failure);
                }
            } finally {
                if (!opened) {
                    if (response != null) {
                        response.close();
                    }
                    use.close();
                }
            }
        }
    }

    private DispatchResult passError(Source source, CallerResponse response)
            throws RequestFailedException, CallAbortedException, CallerGoneException {
        try (source) {
            byte[] body = source.response.readAll(ModelDispatcher.MAX_RESPONSE_BYTES);
            source.end(SlotResult.COMPLETED);
            String contentType = source.response.header("Content-Type").orElse("application/json");
            response.send(source.response.status(), List.of(), body, contentType);
            context.setDelivered(0, 0);
            return DispatchResult.COMPLETED;
        } catch (UpstreamFailure failure) {
            source.end(failure.result());
            throw attempts.toCallerError(failure);
        }
    }

    private void relay(Source first, StreamSink sink) throws CallerGoneException, InterruptedException {
        Source source = first;
        try {
            while (true) {
                UpstreamFailure failure;
                try {
                    passEvents(source, sink);
                    source.end(SlotResult.COMPLETED);
                    attempts.succeeded();
                    return;
                } catch (UpstreamFailure e) {
                    failure = e;
                }
                source.end(failure.result());
                boolean mayResume =
                        !failure.isDiscontinuous() && attempts.mayRetry(source.use, failure, EventCode.REQUEST_RESUMED);
                if (!mayResume) {
                    endWithError(sink, cut());
                    return;
                }
                resumed = true;
                source = open();
            }
        } catch (CallAbortedException e) {
            if (!e.isKeyRevoked()) {
                throw new CallerGoneException(e);
            }
            endWithError(sink, RequestFailedException.ran(ErrorCode.KEY_REVOKED));
        } catch (RequestFailedException e) {
            endWithError(sink, cut());
        } finally {
            source.close();
        }
    }

    private RequestFailedException cut() {
        return RequestFailedException.ran(ErrorCode.UPSTREAM_CUT, position.tokens());
    }

    private void endWithError(StreamSink sink, RequestFailedException failure) throws CallerGoneException {
        result = new DispatchResult(failure.code());
        sink.write(ErrorBody.event(failure, context.requestId()));
    }

    private void passEvents(Source source, StreamSink sink)
            throws UpstreamFailure, CallAbortedException, CallerGoneException {
        while (source.event != null) {
            context.checkKey();
            SseEvent event = source.event;
            if (event.isDone()) {
                source.reader.next();
                sink.write(event.raw());
                return;
            }
            passEvent(source, event, sink);
            source.event = source.reader.next();
        }
        throw UpstreamFailure.broken("the stream ended without " + SseEvent.DONE);
    }

    private void passEvent(Source source, SseEvent event, StreamSink sink) throws UpstreamFailure, CallerGoneException {
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
            // The caller has the opening event, and possibly the closing one, from the interrupted stream.
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
            source.use.countOutput(1);
        }
        source.use.countPrompt(model.promptTokens());
        long promptTokens = json.path("usage").path("prompt_tokens").asLong(model.promptTokens());
        context.setDelivered(promptTokens, position.tokens());
    }

    private static JsonNode parse(SseEvent event) throws UpstreamFailure {
        JsonNode json;
        try {
            json = CanonicalJson.mapper().readTree(event.data());
        } catch (JsonProcessingException e) {
            throw UpstreamFailure.broken("an event is not JSON");
        }
        if (json.has("error")) {
            throw UpstreamFailure.broken("the stream ended with an error event");
        }
        return json;
    }
}
