package org.cranberrybend.entry.request;

import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.ClientConnection;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * One try of a request at one upstream. Reports exactly one end to its owner, unless it is cancelled.
 *
 * <p>An answer is taken only if it names this attempt: a late extra response on a kept connection names another one.
 */
final class UpstreamAttempt implements HttpConnector.Listener, ClientConnection.ResponseListener {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int MISDIRECTED = 421;
    /** Answers up to this length are held until they are whole, so that a broken one can be replaced. */
    private static final int MAX_HELD_BYTES = 1024 * 1024;

    /** Receives what becomes of an attempt. */
    interface Owner {
        /** No byte of the request was sent. */
        void onNotSent(UpstreamAttempt attempt, String cause);

        /** The upstream stated that it did not run the request. */
        void onRejected(UpstreamAttempt attempt, int status);

        /** The upstream began to answer, so it has run the request or runs it. */
        void onBegan(UpstreamAttempt attempt);

        /** A whole answer that is not a stream. */
        void onAnswer(UpstreamAttempt attempt, HttpResponse head, byte[] body);

        /** Whole events of a stream. */
        void onEvents(UpstreamAttempt attempt, HttpResponse head, byte[] events, String lastId);

        /** The stream has ended as it should; the rest follows its last whole event. */
        void onStreamEnd(UpstreamAttempt attempt, HttpResponse head, byte[] rest);

        /** The answer is lost: the request may have run. */
        void onLost(UpstreamAttempt attempt, String cause);
    }

    private enum Mode {
        AWAITING_HEAD,
        DISCARDING,
        HOLDING,
        STREAMING,
        ENDED
    }

    private final RoutedRequest request;
    private final Upstream upstream;
    private final HeaderNames names;
    private final TimeSource timeSource;
    private final Owner owner;
    private final EventStreamSplitter splitter = new EventStreamSplitter();
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private String resumeAfter;
    private Mode mode = Mode.AWAITING_HEAD;
    private Runnable abandonConnect = () -> {};
    private ClientConnection connection;
    private HttpResponse head;
    private boolean sent;
    private boolean promptRead;
    private long sentMs;

    UpstreamAttempt(RoutedRequest request, Upstream upstream, HeaderNames names, TimeSource timeSource, Owner owner) {
        this.request = request;
        this.upstream = upstream;
        this.names = names;
        this.timeSource = timeSource;
        this.owner = owner;
    }

    Upstream upstream() {
        return upstream;
    }

    boolean isSent() {
        return sent;
    }

    long sentMs() {
        return sentMs;
    }

    boolean isReusedConnection() {
        return connection != null && connection.uses() > 1;
    }

    /** Begins; a stream goes on after the given event if that is not empty. */
    void start(String resumeAfterEvent) {
        resumeAfter = resumeAfterEvent;
        upstream.begin(request.prompt().ownTokens());
        abandonConnect = upstream.pool().acquire(this);
    }

    /** Stops the upstream's work on the request by closing the connection; nothing more is reported. */
    void cancel() {
        if (mode == Mode.ENDED) {
            return;
        }
        ended();
        if (connection == null) {
            abandonConnect.run();
        } else {
            connection.close();
        }
    }

    private void ended() {
        mode = Mode.ENDED;
        markPromptRead();
        upstream.end();
    }

    private void markPromptRead() {
        if (!promptRead) {
            promptRead = true;
            upstream.promptRead(request.prompt().ownTokens());
        }
    }

    @Override
    public void onConnected(ClientConnection established) {
        if (mode == Mode.ENDED) {
            upstream.release(established);
            return;
        }
        connection = established;
        sent = true;
        sentMs = timeSource.monotonicMs();
        connection.send(request.method(), request.target(), headers(), request.body(), this);
    }

    private List<Header> headers() {
        List<Header> headers = new ArrayList<>(request.headers().size() + 6);
        for (Header header : request.headers()) {
            if (resumeAfter.isEmpty() || !header.getName().equalsIgnoreCase(names.lastEventId())) {
                headers.add(header);
            }
        }
        if (!resumeAfter.isEmpty()) {
            headers.add(new BasicHeader(names.lastEventId(), resumeAfter));
        }
        long leftMs = Math.max(1, request.endMs() - sentMs);
        headers.add(new BasicHeader(names.deadlineMs(), leftMs));
        headers.add(new BasicHeader(names.upstreamId(), upstream.entry().id()));
        request.account().ifPresent(account -> headers.add(new BasicHeader(names.account(), account.name())));
        if (!request.prompt().isEmpty()) {
            headers.add(new BasicHeader(names.enginePriority(), request.engineRank()));
        }
        return headers;
    }

    @Override
    public void onFailure(String cause) {
        if (mode != Mode.ENDED) {
            ended();
            owner.onNotSent(this, cause);
        }
    }

    @Override
    public void onHead(HttpResponse response) {
        if (mode == Mode.ENDED) {
            return;
        }
        head = response;
        upstream.heard(timeSource.monotonicMs());
        takeLoad(response);
        Header echoed = response.getFirstHeader(names.attemptId());
        boolean signed = response.containsHeader(names.signature());
        boolean success = response.getCode() / 100 == 2;
        if (echoed != null && !echoed.getValue().equals(request.attemptId())) {
            lose("answer to another request");
        } else if (response.containsHeader(names.notExecuted()) || response.getCode() == MISDIRECTED) {
            mode = Mode.DISCARDING;
        } else if (success && (!signed || echoed == null)) {
            lose("answer without signature or identifier");
        } else if (success && isEventStream(response)) {
            mode = Mode.STREAMING;
        } else {
            mode = Mode.HOLDING;
            owner.onBegan(this);
        }
    }

    private boolean isEventStream(HttpResponse response) {
        Header type = response.getFirstHeader(HttpHeaders.CONTENT_TYPE);
        return request.route().streaming()
                && (type == null || type.getValue().trim().startsWith(EVENT_STREAM));
    }

    private void takeLoad(HttpResponse response) {
        Header load = response.getFirstHeader(names.load());
        if (load == null) {
            return;
        }
        String[] figures = load.getValue().split(",");
        try {
            upstream.reported(
                    Integer.parseInt(figures[0].trim()), Integer.parseInt(figures[1].trim()), timeSource.monotonicMs());
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException ignored) {
            // Figures that cannot be read say nothing; the counts of this process remain.
        }
    }

    @Override
    public void onBody(ByteBuffer piece) {
        upstream.heard(timeSource.monotonicMs());
        if (mode == Mode.HOLDING) {
            held.write(piece.array(), piece.position(), piece.remaining());
            if (held.size() > MAX_HELD_BYTES) {
                lose("answer is longer than " + MAX_HELD_BYTES + " bytes");
            }
        } else if (mode == Mode.STREAMING) {
            byte[] events = splitter.take(piece);
            if (events.length > 0) {
                if (!promptRead) {
                    markPromptRead();
                    owner.onBegan(this);
                }
                if (mode == Mode.STREAMING) {
                    owner.onEvents(this, head, events, splitter.lastId());
                }
            }
        }
    }

    @Override
    public void onComplete() {
        Mode last = mode;
        if (last == Mode.ENDED) {
            return;
        }
        ended();
        upstream.release(connection);
        if (last == Mode.DISCARDING) {
            owner.onRejected(this, head.getCode());
        } else if (last == Mode.STREAMING) {
            owner.onStreamEnd(this, head, splitter.rest());
        } else {
            owner.onAnswer(this, head, held.toByteArray());
        }
    }

    @Override
    public void onFailure(String cause, boolean anyResponseByte) {
        Mode last = mode;
        if (last == Mode.ENDED) {
            return;
        }
        ended();
        if (last == Mode.DISCARDING) {
            owner.onRejected(this, head.getCode());
        } else {
            owner.onLost(this, cause);
        }
    }

    private void lose(String cause) {
        ended();
        connection.reset();
        owner.onLost(this, cause);
    }

    static io.netty.buffer.ByteBuf buffer(byte[] bytes) {
        return Unpooled.wrappedBuffer(bytes);
    }
}
