package org.cranberrybend.router.dispatch;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import org.cranberrybend.core.account.KeyHasher;
import org.cranberrybend.core.account.RouteRule;
import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.error.RunState;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.retry.IdempotencyRecord;
import org.cranberrybend.router.accept.CallerDisconnectedException;
import org.cranberrybend.router.accept.CallerRequest;
import org.cranberrybend.router.accept.CallerResponse;
import org.cranberrybend.router.dispatch.IdempotencyStore.Claim;

/**
 * Forwards requests to plain services.
 *
 * <p>A request to a non-idempotent route uses a new connection and is never retried once its first byte may have been
 * written. Once sent, it completes even if its caller disconnects or its key is revoked.
 */
public final class ServiceDispatcher {
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final Pattern IDEMPOTENCY_KEY_PATTERN = Pattern.compile("[\\x20-\\x7e]{1,255}");
    // Added to the route's timeout for the expiry of a reservation; covers the clock skew between instances.
    private static final long RESERVATION_MARGIN_MS = 30_000;
    private static final Set<String> NOT_FORWARDED_RESPONSE_HEADERS = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

    static {
        NOT_FORWARDED_RESPONSE_HEADERS.addAll(List.of(
                "Connection",
                "Keep-Alive",
                "Proxy-Connection",
                "TE",
                "Trailer",
                "Transfer-Encoding",
                "Upgrade",
                "Content-Length",
                "Content-Type",
                "X-Request-Id"));
    }

    private final DispatchEnvironment environment;
    private final KeyHasher keyHasher;
    private final IdempotencyStore idempotency;

    /** Creates a dispatcher. */
    public ServiceDispatcher(DispatchEnvironment environment, KeyHasher keyHasher, IdempotencyStore idempotency) {
        this.environment = environment;
        this.keyHasher = keyHasher;
        this.idempotency = idempotency;
    }

    /**
     * A request to forward, with credentials removed.
     *
     * @param routeName name of the route
     * @param rule rule of the route
     * @param method HTTP method
     * @param target path and query
     * @param headers headers
     * @param body body bytes
     * @param idempotencyKey the caller's Idempotency-Key; empty if the route is idempotent or the caller sent none
     */
    public record ForwardedRequest(
            String routeName,
            RouteRule rule,
            String method,
            String target,
            List<Header> headers,
            byte[] body,
            Optional<String> idempotencyKey) {}

    private record BufferedResponse(int status, List<Header> headers, String contentType, byte[] body) {}

    /** Returns a key stripper that validates keys against one configuration revision. */
    public KeyStripper keyStripper(ConfigurationView view) {
        return new KeyStripper(view, keyHasher);
    }

    /**
     * Reads a request and removes the credentials from it.
     *
     * @throws RequestFailedException if its Idempotency-Key is missing or invalid, its body cannot be read, or its path
     *     or body contains a credential
     */
    public ForwardedRequest prepare(ConfigurationView view, String routeName, RouteRule rule, CallerRequest request)
            throws RequestFailedException, CallerDisconnectedException {
        Optional<String> idempotencyKey = rule.idempotent() ? Optional.empty() : request.header(IDEMPOTENCY_KEY);
        if (idempotencyKey.isEmpty() && rule.idempotencyKeyRequired()) {
            throw RequestFailedException.notRun(ErrorCode.IDEMPOTENCY_KEY_REQUIRED, routeName);
        }
        if (idempotencyKey.isPresent()
                && !IDEMPOTENCY_KEY_PATTERN.matcher(idempotencyKey.get()).matches()) {
            throw RequestFailedException.notRun(ErrorCode.IDEMPOTENCY_KEY_INVALID);
        }
        KeyStripper keyStripper = keyStripper(view);
        List<String> credentials = KeyStripper.sentCredentials(request.headers(), rule.keyHeaders());
        keyStripper.checkPath(request.path(), credentials);
        byte[] body = request.body();
        keyStripper.checkBody(body, credentials);
        String query = keyStripper.forwardedQuery(request.rawQuery(), credentials);
        String target = query.isEmpty() ? request.path() : request.path() + "?" + query;
        List<Header> headers = keyStripper.forwardedHeaders(request.headers(), rule.keyHeaders());
        return new ForwardedRequest(routeName, rule, request.method(), target, headers, body, idempotencyKey);
    }

    /**
     * Serves a request to a plain service.
     *
     * @throws RequestFailedException if the service gave no usable response
     * @throws CallAbortedException if the caller disconnected or its key was revoked before the request was sent
     */
    public DispatchResult dispatch(RequestContext context, ForwardedRequest forwarded, CallerResponse response)
            throws RequestFailedException, CallAbortedException, CallerDisconnectedException, InterruptedException {
        BufferedResponse serviceResponse = forwarded.idempotencyKey().isPresent()
                ? executeOnce(context, forwarded, forwarded.idempotencyKey().get())
                : execute(context, forwarded);
        context.setDelivered(0, 0);
        response.send(
                serviceResponse.status(),
                serviceResponse.headers(),
                serviceResponse.body(),
                serviceResponse.contentType());
        return DispatchResult.COMPLETED;
    }

    private BufferedResponse executeOnce(RequestContext context, ForwardedRequest forwarded, String idempotencyKey)
            throws RequestFailedException, CallAbortedException, InterruptedException {
        String key = IdempotencyStore.recordKey(context.caller().account(), forwarded.routeName(), idempotencyKey);
        String digest = IdempotencyStore.requestDigest(forwarded.method(), forwarded.target(), forwarded.body());
        long runLimitMs = forwarded.rule().timeoutMs() + RESERVATION_MARGIN_MS;
        Claim claim = idempotency.claim(key, digest, context.requestId(), runLimitMs);
        switch (claim.decision()) {
            case FIRST_RUN:
                return executeReserved(context, forwarded, claim);
            case REPLAY:
                context.record(
                        EventCode.IDEMPOTENCY_REPLAYED,
                        Map.of("first_request", claim.record().requestId()));
                return toResponse(claim.record());
            case IN_PROGRESS:
                // The operation of this key is in progress; "not_run" would invite the caller to start another one.
                throw RequestFailedException.outcomeUnknownRetryAfter(1_000, ErrorCode.IDEMPOTENCY_IN_PROGRESS);
            case MISMATCH:
                throw RequestFailedException.notRun(ErrorCode.IDEMPOTENCY_KEY_MISMATCH);
            case OUTCOME_UNKNOWN:
                throw RequestFailedException.outcomeUnknown(ErrorCode.IDEMPOTENCY_OUTCOME_UNKNOWN);
            case RESPONSE_NOT_STORED:
                throw RequestFailedException.ran(ErrorCode.IDEMPOTENCY_OUTCOME_UNKNOWN);
            case STORE_UNAVAILABLE:
            default:
                throw RequestFailedException.notRunRetryAfter(1_000, ErrorCode.IDEMPOTENCY_STORE_UNAVAILABLE);
        }
    }

    private BufferedResponse executeReserved(RequestContext context, ForwardedRequest forwarded, Claim claim)
            throws RequestFailedException, CallAbortedException, InterruptedException {
        boolean notRun = true;
        try {
            BufferedResponse serviceResponse = execute(context, forwarded);
            notRun = false;
            idempotency.complete(
                    claim, serviceResponse.status(), serviceResponse.contentType(), serviceResponse.body());
            return serviceResponse;
        } catch (RequestFailedException e) {
            notRun = e.runState() == RunState.NOT_RUN;
            if (!notRun) {
                idempotency.markOutcomeUnknown(claim);
            }
            throw e;
        } catch (RuntimeException e) {
            notRun = false;
            throw e;
        } finally {
            if (notRun) {
                idempotency.release(claim);
            }
        }
    }

    private static BufferedResponse toResponse(IdempotencyRecord record) {
        byte[] body = Base64.getDecoder().decode(record.bodyBase64());
        List<Header> headers = List.of(new BasicHeader("Idempotency-Replayed", "true"));
        return new BufferedResponse(record.status(), headers, record.contentType(), body);
    }

    private BufferedResponse execute(RequestContext context, ForwardedRequest forwarded)
            throws RequestFailedException, CallAbortedException, InterruptedException {
        boolean idempotent = forwarded.rule().idempotent();
        long deadlineMs = context.arrivalMs() + forwarded.rule().timeoutMs();
        Attempts attempts = new Attempts(environment, context, 0, 0, deadlineMs);
        while (true) {
            try (AcquiredSlot slot = attempts.acquire()) {
                try {
                    BufferedResponse serviceResponse = send(context, forwarded, slot, deadlineMs);
                    slot.release(SlotResult.COMPLETED);
                    attempts.recordSuccess();
                    return serviceResponse;
                } catch (UpstreamFailure failure) {
                    slot.release(failure.result());
                    boolean repeatable = idempotent || !failure.mayHaveBeenSent();
                    if (!repeatable || !attempts.prepareRetry(slot, failure, EventCode.REQUEST_RETRIED)) {
                        throw attempts.toCallerError(failure);
                    }
                }
            }
        }
    }

    private BufferedResponse send(
            RequestContext context, ForwardedRequest forwarded, AcquiredSlot slot, long deadlineMs)
            throws UpstreamFailure, CallAbortedException {
        boolean idempotent = forwarded.rule().idempotent();
        boolean hasBody = forwarded.body().length > 0 || forwarded.method().equals("POST");
        UpstreamCall call = new UpstreamCall(
                context.requestId(),
                forwarded.method(),
                forwarded.target(),
                forwarded.headers(),
                hasBody ? forwarded.body() : null,
                idempotent,
                false,
                Math.min(environment.readTimeoutMs(), forwarded.rule().timeoutMs()),
                deadlineMs);
        CallAbortCheck abortCheck = idempotent ? context::checkNotAborted : CallAbortCheck.NONE;
        try (UpstreamResponse upstream = environment.client().open(slot.upstream(), call, abortCheck)) {
            byte[] body = upstream.readAll(ModelDispatcher.MAX_RESPONSE_BYTES);
            List<Header> headers = new ArrayList<>();
            for (Header header : upstream.headers()) {
                if (!NOT_FORWARDED_RESPONSE_HEADERS.contains(header.getName())) {
                    headers.add(header);
                }
            }
            return new BufferedResponse(
                    upstream.status(), headers, upstream.header("Content-Type").orElse(null), body);
        }
    }
}
