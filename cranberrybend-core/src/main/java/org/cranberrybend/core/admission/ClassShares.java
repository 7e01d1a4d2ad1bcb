package org.cranberrybend.core.admission;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.account.RequestClass;

/**
 * Credit scheduler that guarantees each request class a share of the served tokens, so that no class starves behind
 * higher tiers.
 *
 * <p>For every served token, each class is credited with its share, and it is charged for the tokens it receives
 * through its guaranteed slot. A class with positive credit and waiting requests is below its share and holds one
 * guaranteed slot. Over any period in which a class is backlogged it therefore receives at least its share minus one
 * largest request.
 *
 * <p>Edge cases:
 *
 * <ul>
 *   <li>A class without waiting requests accumulates only its share of a short burst. That credit gives its next
 *       request the guaranteed slot on arrival. Without it, a class whose requests are all refused on arrival would
 *       never have waiting requests and would starve.
 *   <li>Shares whose sum exceeds 1 are scaled down to a sum of 1.
 *   <li>Service outside the guaranteed slot uses up credit but never makes it negative, so a class that used idle
 *       capacity keeps its guarantee.
 * </ul>
 */
public final class ClassShares {
    // With a limit of one token, a class whose requests were refused while its credit was negative
    // lost 10% of its share.
    private static final double IDLE_BURST_TOKENS = 8_192;
    // Bounds the burst of a class whose requests could not be dispatched for some time because they exclude upstreams.
    private static final double MAX_CREDIT_TOKENS = 65_536;
    // Operators rarely define more than a few dozen classes, so entries beyond this belong to classes since renamed.
    private static final int PRUNE_THRESHOLD_CLASSES = 256;

    private final Map<ClassKey, Share> shares = new LinkedHashMap<>();

    /** Records that a request of the class was added to the queue. */
    public void enqueued(RequestClass requestClass) {
        share(requestClass).waiting++;
    }

    /** Records that a request of the class left the queue, for any reason. */
    public void dequeued(RequestClass requestClass) {
        Share share = share(requestClass);
        share.waiting--;
        share.capCredit();
    }

    /**
     * Returns whether the class has received less than its share, so that one of its requests holds the guaranteed
     * slot.
     */
    public boolean isBelowShare(RequestClass requestClass) {
        return share(requestClass).isBelowShare();
    }

    /**
     * Returns the tokens that the class may still receive through its guaranteed slot; negative after a request that
     * was larger than the credit.
     */
    public double creditTokens(RequestClass requestClass) {
        return share(requestClass).creditTokens;
    }

    /**
     * Returns the classes below their share that have waiting requests, by descending ratio of credit to share, then by
     * tier.
     */
    List<ClassKey> backloggedBelowShare() {
        return shares.entrySet().stream()
                .filter(entry ->
                        entry.getValue().waiting > 0 && entry.getValue().isBelowShare())
                .sorted(Comparator.<Map.Entry<ClassKey, Share>>comparingDouble(
                                entry -> -entry.getValue().creditTokens / entry.getValue().ratio)
                        .thenComparing(entry -> entry.getKey().tier())
                        .thenComparing(entry -> entry.getKey().name()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Charges the class for dispatched tokens, or applies a correction of an earlier charge, which may be negative.
     *
     * @param guaranteed whether the request used the class's guaranteed slot
     */
    public void charge(RequestClass requestClass, double tokens, boolean guaranteed) {
        double ratios = 0;
        for (Share share : shares.values()) {
            ratios += share.ratio;
        }
        double scale = Math.max(1, ratios);
        for (Share share : shares.values()) {
            share.creditTokens += tokens * share.ratio / scale;
            share.capCredit();
        }
        Share own = share(requestClass);
        if (guaranteed) {
            own.creditTokens -= tokens;
        } else if (tokens > 0 && own.creditTokens > 0) {
            own.creditTokens = Math.max(0, own.creditTokens - tokens);
        }
        own.capCredit();
    }

    private Share share(RequestClass requestClass) {
        if (shares.size() > PRUNE_THRESHOLD_CLASSES) {
            shares.values().removeIf(share -> share.waiting == 0 && share.creditTokens >= share.idleCreditTokens());
        }
        Share share = shares.computeIfAbsent(ClassKey.of(requestClass), key -> new Share());
        share.ratio = requestClass.guaranteedShareRatio();
        return share;
    }

    private static final class Share {
        private double ratio;
        /** At most {@link #idleCreditTokens()} while the class has no waiting requests. */
        private double creditTokens = 1;

        private int waiting;

        boolean isBelowShare() {
            return ratio > 0 && creditTokens > 0;
        }

        double idleCreditTokens() {
            return Math.max(1, ratio * IDLE_BURST_TOKENS);
        }

        void capCredit() {
            creditTokens = Math.min(creditTokens, waiting == 0 ? idleCreditTokens() : MAX_CREDIT_TOKENS);
        }
    }
}
