package org.cranberrybend.router.dispatch;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.router.accept.CallerRequest;
import org.cranberrybend.router.authenticate.Authenticator;
import org.cranberrybend.router.authenticate.Caller;
import org.cranberrybend.runtime.event.EventLog;

/** State of one admitted request. Accessed by its connection's thread only. */
public final class RequestContext {
    private final CallerRequest request;
    private final Caller caller;
    private final RequestClass requestClass;
    private final String service;
    private final Authenticator authenticator;
    private final EventLog events;
    private boolean sent;
    private long promptTokens;
    private long outputTokens;
    private boolean delivered;

    /** Creates the context of a request to a model or plain service. */
    public RequestContext(
            CallerRequest request,
            Caller caller,
            RequestClass requestClass,
            String service,
            Authenticator authenticator,
            EventLog events) {
        this.request = request;
        this.caller = caller;
        this.requestClass = requestClass;
        this.service = service;
        this.authenticator = authenticator;
        this.events = events;
    }

    /** Returns the request identifier. */
    public String requestId() {
        return request.requestId();
    }

    /** Returns when the request arrived, on the monotonic clock in milliseconds. */
    public long arrivalMs() {
        return request.arrivalMs();
    }

    /** Returns the time since the request was received in full, in microseconds. */
    long ageMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - request.receivedAtNanos());
    }

    /** Returns the client account and its template. */
    public Caller caller() {
        return caller;
    }

    /** Returns the request class. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** Returns the name of the model or plain service. */
    public String service() {
        return service;
    }

    /** Returns whether the key was revoked or the caller disconnected. */
    boolean isAborted() {
        return authenticator.isRevoked(caller.keyId()) || request.isCallerDisconnected();
    }

    /** Fails if the key was revoked or the caller disconnected. Blocks for up to 1 ms. */
    void checkNotAborted() throws CallAbortedException {
        checkKeyNotRevoked();
        if (request.isCallerDisconnected()) {
            throw new CallAbortedException(false);
        }
    }

    /** Fails if the key was revoked. */
    void checkKeyNotRevoked() throws CallAbortedException {
        if (authenticator.isRevoked(caller.keyId())) {
            throw new CallAbortedException(true);
        }
    }

    /** Records that the request was handed to an upstream connection. */
    void markSent() {
        sent = true;
    }

    /** Returns whether the request was handed to an upstream connection. */
    public boolean isSent() {
        return sent;
    }

    /** Sets the billed tokens: the prompt once, and the output delivered to the caller over all attempts. */
    void setDelivered(long newPromptTokens, long newOutputTokens) {
        delivered = true;
        promptTokens = newPromptTokens;
        outputTokens = newOutputTokens;
    }

    /** Returns whether anything was delivered to the caller. */
    public boolean isDelivered() {
        return delivered;
    }

    /** Returns the billed prompt tokens. */
    public long promptTokens() {
        return promptTokens;
    }

    /** Returns the output tokens delivered. */
    public long outputTokens() {
        return outputTokens;
    }

    /** Records an event about this request. */
    public void record(EventCode code, Map<String, Object> fields) {
        events.record(code, requestId(), fields);
    }
}
