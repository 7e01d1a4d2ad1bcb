package org.cranberrybend.entry.request;

import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.configuration.RetryRule;
import org.cranberrybend.entry.http.ClientConnection;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.quarantine.QuarantineService;
import org.cranberrybend.entry.upstream.Exclusion;
import org.cranberrybend.entry.upstream.RateLimits;
import org.cranberrybend.entry.upstream.SendSlots;
import org.cranberrybend.entry.upstream.Upstream;
import org.cranberrybend.entry.upstream.WarmUpLimiter;

/**
 * One attempt to have a request executed by one upstream. Reports exactly one result to its listener, unless aborted.
 *
 * <p>A response with the identifier of another request is not accepted: it may be a late surplus response on a
 * persistent connection, after which the own response may follow. Nor is a response without an identifier accepted on a
 * connection that carried another request before. A successful response must have both the identifier of this request
 * and a signature.
 *
 * <p>A response without a length ends with its connection. The kernel ends the connections of a killed process in the
 * same way, mostly between two events, so such a response is complete only once the upstream was found to listen. What
 * was received of a stream is passed on before; only its end waits.
 *
 * <p>An upstream may send bytes without end, so whatever is kept or discarded of a response is limited.
 */
final class UpstreamAttempt implements HttpConnector.Listener, ClientConnection.ResponseListener {
    private static final String EVENT_STREAM = "text/event-stream";
    /**
     * Size up to which a response without streaming is buffered; an incomplete one can still be replaced by a retry.
     */
    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;
    /** Size up to which the body of a rejection is read, so that the connection can be reused. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    /** Receives the progress and the result of an attempt. */
    interface ResultListener {
        /** No connection was established, so no byte of the request was sent. */
        void onConnectFailure(UpstreamAttempt attempt, String cause);

        /** Returns the reason why the zone of the upstream may no longer receive the request; empty if it may. */
        Optional<Exclusion> zoneExclusion(UpstreamAttempt attempt);

        /**
         * The upstream or its zone was excluded, or a limit of its requests began, before a connection was established, so
         * no byte of the request was sent.
         */
        void onWithheld(UpstreamAttempt attempt, String cause);

        /** The upstream stated in a response that it is leaving. */
        void onLeavingStated(UpstreamAttempt attempt);

        /** The upstream asked in a response for no requests in the given time. */
        void onPauseStated(UpstreamAttempt attempt, long pauseMs);

        /** The upstream stated that it did not execute the request. */
        void onRejected(UpstreamAttempt attempt, int status);

        /** The response began, so the upstream has executed the request or is executing it. */
        void onExecutionStarted(UpstreamAttempt attempt);

        /** A response without streaming is complete. */
        void onResponse(UpstreamAttempt attempt, HttpResponse head, byte[] body);

        /** Complete events of a stream were received. */
        void onEvents(UpstreamAttempt attempt, HttpResponse head, byte[] events, String lastEventId);

        /** The stream ended regularly; the trailing bytes follow its last complete event. */
        void onStreamEnd(UpstreamAttempt attempt, HttpResponse head, byte[] trailingBytes);

        /** The response is lost or unusable; the request may have been executed. */
        void onResponseLost(UpstreamAttempt attempt, String cause);
    }

    private enum Mode {
        AWAITING_HEAD,
        DISCARDING,
        BUFFERING,
        STREAMING,
        ENDED
    }

    private final RoutedRequest request;
    private final Upstream upstream;
    private final HeaderNames headerNames;
    private final AttemptHeaders headers;
    private final WarmUpLimiter warmUp;
    private final SendSlots slots;
    private final RateLimits rateLimits;
    private final TimeSource timeSource;
    private final StreamTiming timing;
    private final QuarantineService quarantine;
    private final ResultListener listener;
    private final EventStreamSplitter splitter = new EventStreamSplitter();
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private String lastEventId;
    private Mode mode = Mode.AWAITING_HEAD;
    private Runnable cancelConnect = () -> {};
    private ClientConnection connection;
    private HttpResponse head;
    private boolean sent;
    /** Whether the connection ended, or its bytes became unreadable, before the response was complete. */
    private boolean connectionLost;

    /** Whether the response has ended with its connection and the upstream is being checked. */
    private boolean checking;

    private boolean prefillDone;
    private boolean reading = true;
    private int discardedBytes;
    private long sentMs;
    /** Time of the last complete event, or at which the caller became able to receive more of them. */
    private long lastProgressMs;

    UpstreamAttempt(RoutedRequest request, Upstream upstream, RequestServices services, ResultListener listener) {
        this.request = request;
        this.upstream = upstream;
        this.headerNames = services.headerNames();
        this.headers = new AttemptHeaders(headerNames);
        this.warmUp = services.warmUp();
        this.slots = services.limits().slots(upstream);
        this.rateLimits = services.table().rateLimits();
        this.timeSource = services.timeSource();
        this.timing = new StreamTiming(
                upstream, request.prompt(), request.route().eventGapTargetMs(), timeSource.monotonicMs());
        this.quarantine = services.quarantine();
        this.listener = listener;
    }

    Upstream upstream() {
        return upstream;
    }

    boolean isSent() {
        return sent;
    }

    /** Returns whether the connection ended, or its bytes became unreadable, before the response was complete. */
    boolean isConnectionLost() {
        return connectionLost;
    }

    long sentMs() {
        return sentMs;
    }

    /** Returns whether complete events of a stream were received. */
    boolean hasEvents() {
        return mode == Mode.STREAMING && prefillDone;
    }

    /**
     * Returns whether the stream has begun and no complete event was received for the given time although the caller
     * could have received one. Bytes that complete no event are no progress.
     */
    boolean isStalled(long limitMs, long nowMs) {
        return hasEvents() && reading && nowMs - lastProgressMs >= limitMs;
    }

    /**
     * Returns whether the response is read as fast as it arrives, rather than as fast as the caller receives it, or not
     * at all because it has ended.
     */
    boolean isReading() {
        return reading && !checking;
    }

    /** Returns the time without a byte that is normal before the first event of a stream; 0 for a plain service. */
    long firstEventTimeoutMs() {
        return request.prompt().isEmpty()
                ? 0
                : upstream.engine().estimator().service().firstEventTimeout().timeoutMs();
    }

    /** Records that the upstream counts as unresponsive because of this attempt. */
    void recordUnresponsive() {
        timing.onUnresponsive(timeSource.monotonicMs());
    }

    /** Suspends or resumes reading of the response. */
    void setReading(boolean nextReading) {
        if (mode != Mode.ENDED && connection != null && reading != nextReading) {
            reading = nextReading;
            lastProgressMs = timeSource.monotonicMs();
            timing.onReadingChanged();
            connection.setReading(nextReading);
        }
    }

    boolean isReusedConnection() {
        return connection != null && connection.requestCount() > 1;
    }

    /** Starts the attempt; a stream is resumed after the given event unless that is empty. */
    void start(String resumeAfterEventId) {
        lastEventId = resumeAfterEventId;
        upstream.begin(timing.uncachedTokens());
        slots.reserve(timeSource.monotonicMs());
        cancelConnect = upstream.pool().acquire(this);
    }

    /** Closes the connection, so that the upstream stops executing the request; nothing more is reported. */
    void abort() {
        checking = false;
        if (mode == Mode.ENDED) {
            return;
        }
        markEnded();
        if (connection == null) {
            cancelConnect.run();
        } else {
            connection.close();
        }
    }

    /** Closes the idle connections to the upstream, which may be as silent as that of this attempt if it was sent. */
    void discardIdleConnections() {
        if (sent) {
            upstream.pool().discardIdle();
        }
    }

    private void markEnded() {
        mode = Mode.ENDED;
        slots.release();
        markPrefillDone();
        upstream.end();
    }

    private void markPrefillDone() {
        if (!prefillDone) {
            prefillDone = true;
            upstream.recordPrefillEnd(timing.uncachedTokens());
        }
    }

    @Override
    public void onConnected(ClientConnection established) {
        if (mode == Mode.ENDED) {
            upstream.release(established);
            return;
        }
        // The zone is checked first: a claim uses up a slot of an upstream whose requests are limited.
        Optional<String> withheld = listener.zoneExclusion(this).map(Exclusion::text);
        if (withheld.isEmpty()) {
            withheld = tryClaim(timeSource.monotonicMs());
        }
        if (withheld.isPresent()) {
            markEnded();
            upstream.release(established);
            listener.onWithheld(this, withheld.get());
            return;
        }
        connection = established;
        sent = true;
        sentMs = timeSource.monotonicMs();
        timing.onSent(sentMs);
        List<Header> requestHeaders =
                headers.ofRequest(request, upstream.entry().id(), lastEventId, request.deadlineMs() - sentMs);
        connection.send(request.method(), request.target(), requestHeaders, request.body(), this);
    }

    /** Takes what the request needs to be sent now; returns the reason why it must not be, empty if it may. */
    private Optional<String> tryClaim(long nowMs) {
        if (upstream.isPaused(nowMs)) {
            return Optional.of("upstream has asked for time");
        }
        if (upstream.isLeavingStated()) {
            return Optional.of("upstream is leaving");
        }
        return slots.tryTake(nowMs).map(reason -> "upstream is " + reason.text());
    }

    @Override
    public void onFailure(String cause) {
        if (mode != Mode.ENDED) {
            markEnded();
            listener.onConnectFailure(this, cause);
        }
    }

    @Override
    public void onRefused(String cause) {
        warmUp.recordRefusedConnection(upstream, timeSource.monotonicMs());
        onFailure(cause);
    }

    @Override
    public void onHead(HttpResponse response) {
        if (mode == Mode.ENDED) {
            return;
        }
        upstream.recordReceived(timeSource.monotonicMs());
        headers.recordLoad(response, upstream, timeSource.monotonicMs());
        if (headers.statesLeaving(response)) {
            listener.onLeavingStated(this);
        }
        RetryAfter.pauseMs(response).ifPresent(pauseMs -> listener.onPauseStated(this, pauseMs));
        Header echoed = response.getFirstHeader(headerNames.attemptId());
        boolean signed = response.containsHeader(headerNames.signature());
        boolean success = response.getCode() / 100 == 2;
        boolean toOtherRequest = echoed != null && !echoed.getValue().equals(request.attemptId());
        recordRateLimit(response, echoed != null && !toOtherRequest);
        // The own response may follow a late copy of an earlier one, or never come if responses were crossed. Only a
        // request that must not be executed again is worth the wait.
        if (toOtherRequest && isReusedConnection() && request.retryRule() == RetryRule.ONCE) {
            connection.skipResponse();
            return;
        }
        head = response;
        if (response.countHeaders(headerNames.attemptId()) > 1 || response.countHeaders(headerNames.signature()) > 1) {
            failAndReset("response with the identifiers or signatures of two");
        } else if (toOtherRequest) {
            failAndReset("response to another request");
        } else if (echoed == null && isReusedConnection()) {
            failAndReset("response without attempt identifier on a reused connection");
        } else if (statesNotExecuted(response)) {
            mode = Mode.DISCARDING;
        } else if (success && (!signed || echoed == null)) {
            failAndReset("response without signature or attempt identifier");
        } else if (success && isEventStream(response)) {
            mode = Mode.STREAMING;
        } else {
            mode = Mode.BUFFERING;
            listener.onExecutionStarted(this);
        }
    }

    /**
     * Returns whether a response states that its sender did not execute the request: by the header, or as another process
     * than the one to which the request is addressed. No other status states it.
     */
    private boolean statesNotExecuted(HttpResponse response) {
        return response.containsHeader(headerNames.notExecuted()) || isMisdirected(response);
    }

    private static boolean isMisdirected(HttpResponse response) {
        return RefusalStatus.MISDIRECTED_REQUEST.is(response.getCode());
    }

    /** Records what a response states of the rate limit; that of another process at the address states nothing. */
    private void recordRateLimit(HttpResponse response, boolean ownResponse) {
        if (isMisdirected(response)) {
            return;
        }
        OptionalDouble stated = headers.rateLimit(response);
        if (stated.isPresent()) {
            rateLimits.recordLimit(upstream, stated.getAsDouble());
        } else if (ownResponse && headers.statesNoRateLimit(response)) {
            rateLimits.recordNoLimit(upstream, sentMs);
        }
    }

    private boolean isEventStream(HttpResponse response) {
        Header type = response.getFirstHeader(HttpHeaders.CONTENT_TYPE);
        return request.route().streaming()
                && (type == null || type.getValue().trim().startsWith(EVENT_STREAM));
    }

    @Override
    public void onBody(ByteBuffer piece) {
        upstream.recordReceived(timeSource.monotonicMs());
        switch (mode) {
            case BUFFERING:
                buffered.write(piece.array(), piece.position(), piece.remaining());
                if (buffered.size() > MAX_BUFFERED_BYTES) {
                    failAndReset("response is longer than " + MAX_BUFFERED_BYTES + " bytes");
                }
                break;
            case STREAMING:
                receiveEvents(piece);
                break;
            case DISCARDING:
                discard(piece.remaining());
                break;
            default:
                break;
        }
    }

    private void receiveEvents(ByteBuffer piece) {
        byte[] events = splitter.append(piece);
        if (events.length > 0) {
            lastProgressMs = timeSource.monotonicMs();
            timing.onEvents(lastProgressMs);
            if (!prefillDone) {
                markPrefillDone();
                listener.onExecutionStarted(this);
            }
            listener.onEvents(this, head, events, splitter.lastEventId());
        }
        if (mode == Mode.STREAMING && splitter.incompleteBytes() > MAX_BUFFERED_BYTES) {
            failAndReset("event is longer than " + MAX_BUFFERED_BYTES + " bytes");
        }
    }

    private void discard(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            markEnded();
            connection.reset();
            listener.onRejected(this, head.getCode());
        }
    }

    @Override
    public int keptBytes() {
        return buffered.size() + splitter.keptBytes();
    }

    @Override
    public void onComplete() {
        Mode previous = mode;
        if (previous == Mode.ENDED) {
            return;
        }
        boolean hadEvents = hasEvents();
        if (previous != Mode.DISCARDING) {
            timing.onEnd(timeSource.monotonicMs());
        }
        markEnded();
        upstream.release(connection);
        if (previous == Mode.DISCARDING) {
            listener.onRejected(this, head.getCode());
        } else if (previous == Mode.STREAMING && connection.isDelimitedByClose() && splitter.incompleteBytes() > 0) {
            connectionLost = true;
            listener.onResponseLost(this, "connection ended within an event");
        } else if (previous == Mode.STREAMING && connection.isDelimitedByClose() && !hadEvents) {
            connectionLost = true;
            listener.onResponseLost(this, "connection ended before the first event");
        } else if (connection.isDelimitedByClose()) {
            checking = true;
            quarantine.isListening(upstream).thenAccept(listening -> onChecked(previous, listening));
        } else {
            reportComplete(previous);
        }
    }

    private void onChecked(Mode received, boolean listening) {
        if (!checking) {
            return;
        }
        checking = false;
        if (listening) {
            reportComplete(received);
        } else {
            connectionLost = true;
            listener.onResponseLost(this, "connection ended, and the upstream does not listen");
        }
    }

    private void reportComplete(Mode received) {
        if (received == Mode.STREAMING) {
            listener.onStreamEnd(this, head, splitter.incompleteEvent());
        } else {
            listener.onResponse(this, head, buffered.toByteArray());
        }
    }

    @Override
    public void onFailure(String cause, boolean responseStarted) {
        Mode previous = mode;
        if (previous == Mode.ENDED) {
            return;
        }
        markEnded();
        if (previous == Mode.DISCARDING) {
            listener.onRejected(this, head.getCode());
        } else {
            connectionLost = true;
            listener.onResponseLost(this, cause);
        }
    }

    private void failAndReset(String cause) {
        markEnded();
        connection.reset();
        listener.onResponseLost(this, cause);
    }

    static io.netty.buffer.ByteBuf buffer(byte[] bytes) {
        return Unpooled.wrappedBuffer(bytes);
    }
}
