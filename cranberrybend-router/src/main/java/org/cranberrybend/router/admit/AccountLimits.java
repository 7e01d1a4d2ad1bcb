package org.cranberrybend.router.admit;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.cranberrybend.core.account.Template;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.authenticate.Caller;

/**
 * Limits on the concurrent requests and tokens per minute of client accounts.
 *
 * <p>The limits of a template apply per availability zone. Each router of the zone enforces an equal share: the load
 * balancer distributes connections evenly, and a shared counter would cost a message per request. The share of
 * concurrent requests is rounded up.
 *
 * <p>The lock is held for map operations and arithmetic only; no other lock is acquired while it is held.
 */
public final class AccountLimits {
    private static final long MINUTE_MS = TimeUnit.MINUTES.toMillis(1);

    private final TimeSource timeSource;
    private final IntSupplier routersInZone;
    private final Map<String, AccountUsage> usages = new HashMap<>();

    private static final class AccountUsage {
        private int inFlightRequests;
        private double spentTokens;
        private long updatedAtMs;
    }

    /** Permission for one request, which counts against the limits of its account until closed. */
    public interface Permit extends AutoCloseable {
        /** Ends the request and replaces its estimated tokens by the tokens processed. */
        void close(long actualTokens);

        /** Ends a request that processed no tokens. */
        @Override
        default void close() {
            close(0);
        }
    }

    /** Creates the limits; {@code routersInZone} supplies the number of live routers of the zone for each request. */
    public AccountLimits(TimeSource timeSource, IntSupplier routersInZone) {
        this.timeSource = timeSource;
        this.routersInZone = routersInZone;
    }

    /**
     * Admits a request.
     *
     * @param expectedTokens estimated prompt and output tokens; 0 for plain services
     * @throws RequestFailedException with {@link ErrorCode#RATE_LIMITED} if a limit is reached
     */
    public Permit admit(Caller caller, long expectedTokens) throws RequestFailedException {
        if (caller.isAnonymous()) {
            return actualTokens -> {};
        }
        Template template = caller.template();
        int routers = Math.max(1, routersInZone.getAsInt());
        int maxInFlightRequests = (template.maxConcurrentRequests() + routers - 1) / routers;
        double tokensPerMinute = (double) template.tokensPerMinute() / routers;
        synchronized (usages) {
            AccountUsage usage = usages.computeIfAbsent(caller.account(), ignored -> new AccountUsage());
            if (usage.inFlightRequests >= maxInFlightRequests) {
                throw RequestFailedException.notRunRetryAfter(
                        1_000, ErrorCode.RATE_LIMITED, template.maxConcurrentRequests() + " concurrent requests");
            }
            if (template.tokensPerMinute() > 0) {
                refill(usage, tokensPerMinute);
                if (usage.spentTokens > 0 && usage.spentTokens + expectedTokens > tokensPerMinute) {
                    double excess = usage.spentTokens + expectedTokens - tokensPerMinute;
                    long retryAfterMs = (long) Math.ceil(Math.min(1, excess / tokensPerMinute) * MINUTE_MS);
                    throw RequestFailedException.notRunRetryAfter(
                            retryAfterMs, ErrorCode.RATE_LIMITED, template.tokensPerMinute() + " tokens per minute");
                }
                usage.spentTokens += expectedTokens;
            }
            usage.inFlightRequests++;
            return actualTokens -> end(usage, actualTokens - expectedTokens);
        }
    }

    private void refill(AccountUsage usage, double tokensPerMinute) {
        long nowMs = timeSource.monotonicMs();
        double refilled = tokensPerMinute * (nowMs - usage.updatedAtMs) / MINUTE_MS;
        usage.spentTokens = Math.max(0, usage.spentTokens - refilled);
        usage.updatedAtMs = nowMs;
    }

    private void end(AccountUsage usage, long correctionTokens) {
        synchronized (usages) {
            usage.inFlightRequests--;
            usage.spentTokens = Math.max(0, usage.spentTokens + correctionTokens);
        }
    }
}
