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
 * Bounds on the requests and tokens of client accounts.
 *
 * <p>The bounds of a template hold per availability zone. Each router of the zone enforces an equal part, rounded up,
 * because the load balancer spreads connections evenly and a shared count would cost a message per request.
 *
 * <p>The lock is held for map operations only and no other is taken inside.
 */
public final class AccountLimits {
    private static final long MINUTE_MS = TimeUnit.MINUTES.toMillis(1);

    private final TimeSource timeSource;
    private final IntSupplier routersInZone;
    private final Map<String, Usage> usages = new HashMap<>();

    private static final class Usage {
        private int running;
        private double spentTokens;
        private long updatedAtMs;
    }

    /** A request that counts against its account until it is closed. */
    public interface Permit extends AutoCloseable {
        /** Replaces the estimated tokens by those processed, and ends the request. */
        void close(long actualTokens);

        /** Ends a request that processed nothing. */
        @Override
        default void close() {
            close(0);
        }
    }

    /** Creates the limits; {@code routersInZone} is asked for the number of live routers on each request. */
    public AccountLimits(TimeSource timeSource, IntSupplier routersInZone) {
        this.timeSource = timeSource;
        this.routersInZone = routersInZone;
    }

    /**
     * Admits a request.
     *
     * @param expectedTokens estimated prompt and output tokens; 0 for plain services
     * @throws RequestFailedException with {@link ErrorCode#RATE_LIMITED} if a bound is reached
     */
    public Permit admit(Caller caller, long expectedTokens) throws RequestFailedException {
        if (caller.isOpen()) {
            return actualTokens -> {};
        }
        Template template = caller.template();
        int routers = Math.max(1, routersInZone.getAsInt());
        int maxRunning = (template.maxConcurrentRequests() + routers - 1) / routers;
        double tokensPerMinute = (double) template.tokensPerMinute() / routers;
        synchronized (usages) {
            Usage usage = usages.computeIfAbsent(caller.account(), ignored -> new Usage());
            if (usage.running >= maxRunning) {
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
            usage.running++;
            return actualTokens -> end(usage, actualTokens - expectedTokens);
        }
    }

    private void refill(Usage usage, double tokensPerMinute) {
        long nowMs = timeSource.monotonicMs();
        double refilled = tokensPerMinute * (nowMs - usage.updatedAtMs) / MINUTE_MS;
        usage.spentTokens = Math.max(0, usage.spentTokens - refilled);
        usage.updatedAtMs = nowMs;
    }

    private void end(Usage usage, long correctionTokens) {
        synchronized (usages) {
            usage.running--;
            usage.spentTokens = Math.max(0, usage.spentTokens + correctionTokens);
        }
    }
}
