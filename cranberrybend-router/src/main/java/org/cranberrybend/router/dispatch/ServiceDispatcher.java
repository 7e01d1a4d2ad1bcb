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
import org.cranberrybend.router.accept.CallerGoneException;
import org.cranberrybend.router.accept.CallerRequest;
import org.cranberrybend.router.accept.CallerResponse;
import org.cranberrybend.router.dispatch.IdempotencyStore.Claim;

/**
 * Forwards requests to plain services.
 *
 * <p>A request to a route that is not idempotent uses a fresh connection and is never sent again once its first byte
 * may have been written. Once sent, it completes even if its caller disconnects or its key is revoked.
 */
public final class ServiceDispatcher {
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final Pattern IDEMPOTENCY_KEY_FORM = Pattern.compile("[\\x20-\\x7e]{1,255}");
    // Added to the route's timeout before a reservation counts as lost; covers the clock skew between instances.
    private static final long RESERVATION_MARGIN_MS = 30_000;
    private static final Set<String> NOT_RETURNED = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

    static {
        NOT_RETURNED.addAll(List.of(
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
     * A request as it is forwarded, without keys.
     *
     * @param routeName name of the route
     * @param rule route
     * @param target path and query
     * @param method HTTP method
     * @param headers headers
     * @param body body bytes
     * @param idempotencyKey the caller's Idempotency-Key, if the route is not idempotent
     */
    public record Forwarding(
            String routeName,
            RouteRule rule,
            String method,
            String target,
            List<Header> headers,
            byte[] body,
            Optional<String> idempotencyKey) {}

    private record Answer(int status, List<Header> headers, String contentType, byte[] body) {}

    /** Returns the stripper for the keys of one configuration revision. */
    public KeyStripper stripper(ConfigurationView view) {
        return new KeyStripper(view, keyHasher);
    }

    /**
     * Reads a request and removes the keys from it.
     *
     * @throws RequestFailedException if its Idempotency-Key is missing or invalid, its body cannot be read, or its path
     *     or body holds a key
     */
    public Forwarding prepare(ConfigurationView view, String routeName, RouteRule rule, CallerRequest request)
            throws RequestFailedException, CallerGoneException {
        Optional<String> idempotencyKey = rule.idempotent() ? Optional.empty() : request.header(IDEMPOTENCY_KEY);
        if (idempotencyKey.isEmpty() && rule.idempotencyKeyRequired()) {
            throw RequestFailedException.notRun(ErrorCode.IDEMPOTENCY_KEY_REQUIRED, routeName);
        }
        if (idempotencyKey.isPresent()
                && !IDEMPOTENCY_KEY_FORM.matcher(idempotencyKey.get()).matches()) {
            throw RequestFailedException.notRun(ErrorCode.IDEMPOTENCY_KEY_INVALID);
        }
        KeyStripper stripper = stripper(view);
        List<String> secrets = KeyStripper.secrets(request.headers(), rule.keyHeaders());
        stripper.checkPath(request.path(), secrets);
        byte[] body = request.body();
        stripper.checkBody(body, secrets);
        String query = stripper.query(request.rawQuery(), secrets);
        String target = query.isEmpty() ? request.path() : request.path() + "?" + query;
        List<Header> headers = stripper.headers(request.headers(), rule.keyHeaders());
        return new Forwarding(routeName, rule, request.method(), target, headers, body, idempotencyKey);
    }

    /**
     * Answers a request to a plain service.
     *
     * @throws RequestFailedException if there is no response of the service to give
     * @throws CallAbortedException if the caller disconnected or its key was revoked before the request was sent
     */
    public DispatchResult dispatch(RequestContext context, Forwarding forwarding, CallerResponse response)
            throws RequestFailedException, CallAbortedException, CallerGoneException, InterruptedException {
        Answer answer = forwarding.idempotencyKey().isPresent()
                ? runOnce(context, forwarding, forwarding.idempotencyKey().get())
                : run(context, forwarding);
        context.setDelivered(0, 0);
        response.send(answer.status(), answer.headers(), answer.body(), answer.contentType());
        return DispatchResult.COMPLETED;
    }

    private Answer runOnce(RequestContext context, Forwarding forwarding, String idempotencyKey)
            throws RequestFailedException, CallAbortedException, InterruptedException {
        String key = IdempotencyStore.recordKey(context.caller().account(), forwarding.routeName(), idempotencyKey);
        String digest = IdempotencyStore.requestDigest(forwarding.method(), forwarding.target(), forwarding.body());
        long runLimitMs = forwarding.rule().timeoutMs() + RESERVATION_MARGIN_MS;
        Claim claim = idempotency.claim(key, digest, context.requestId(), runLimitMs);
        switch (claim.decision()) {
            case FIRST_RUN:
                return firstRun(context, forwarding, claim);
            case REPLAY:
                context.record(
                        EventCode.IDEMPOTENCY_REPLAYED,
                        Map.of("first_request", claim.record().requestId()));
                return replay(claim.record());
            case IN_PROGRESS:
                // The operation that the key names is running, so "not_run" would invite the caller to start another.
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

    private Answer firstRun(RequestContext context, Forwarding forwarding, Claim claim)
            throws RequestFailedException, CallAbortedException, InterruptedException {
        boolean notRun = true;
        try {
            Answer answer = run(context, forwarding);
            notRun = false;
            idempotency.complete(claim, answer.status(), answer.contentType(), answer.body());
            return answer;
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

    private static Answer replay(IdempotencyRecord record) {
        byte[] body = Base64.getDecoder().decode(record.bodyBase64());
        List<Header> headers = List.of(new BasicHeader("Idempotency-Replayed", "true"));
        return new Answer(record.status(), headers, record.contentType(), body);
    }

    private Answer run(RequestContext context, Forwarding forwarding)
            throws RequestFailedException, CallAbortedException, InterruptedException {
        boolean idempotent = forwarding.rule().idempotent();
        long deadlineMs = context.arrivalMs() + forwarding.rule().timeoutMs();
        Attempts attempts = new Attempts(environment, context, 0, 0, deadlineMs);
        while (true) {
            try (SlotUse use = attempts.acquire()) {
                try {
                    Answer answer = send(context, forwarding, use, deadlineMs);
                    use.release(SlotResult.COMPLETED);
                    attempts.succeeded();
                    return answer;
                } catch (UpstreamFailure failure) {
                    use.release(failure.result());
                    boolean repeatable = idempotent || !failure.mayHaveBeenSent();
                    if (!repeatable || !attempts.mayRetry(use, failure, EventCode.REQUEST_RETRIED)) {
                        throw attempts.toCallerError(failure);
                    }
                }
            }
        }
    }

    private Answer send(RequestContext context, Forwarding forwarding, SlotUse use, long deadlineMs)
            throws UpstreamFailure, CallAbortedException {
        boolean idempotent = forwarding.rule().idempotent();
        boolean hasBody = forwarding.body().length > 0 || forwarding.method().equals("POST");
        UpstreamCall call = new UpstreamCall(
                context.requestId(),
                forwarding.method(),
                forwarding.target(),
                forwarding.headers(),
                hasBody ? forwarding.body() : null,
                idempotent,
                false,
                Math.min(environment.readTimeoutMs(), forwarding.rule().timeoutMs()),
                deadlineMs);
        CallGuard guard = idempotent ? context::checkWanted : CallGuard.NONE;
        try (UpstreamResponse upstream = environment.client().open(use.upstream(), call, guard)) {
            byte[] body = upstream.readAll(ModelDispatcher.MAX_RESPONSE_BYTES);
            List<Header> headers = new ArrayList<>();
            for (Header header : upstream.headers()) {
                if (!NOT_RETURNED.contains(header.getName())) {
                    headers.add(header);
                }
            }
            return new Answer(
                    upstream.status(), headers, upstream.header("Content-Type").orElse(null), body);
        }
    }
}
