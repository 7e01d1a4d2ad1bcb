package org.cranberrybend.core.admission;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.account.RequestClass;

/**
 * Guaranteed shares of served tokens, so that no class starves behind higher tiers.
 *
 * <p>Each class earns its share of every token served as credit, and pays for what it receives through its guaranteed
 * slot. A class with positive credit and waiting work is behind its share and holds one guaranteed slot. Over any period
 * in which a class always has waiting work it therefore receives its share, less the largest request.
 *
 * <p>Edge cases: a class without waiting work saves up only its share of a short burst. With that credit its first
 * request holds the guaranteed slot on arrival; without any, a class whose requests are all refused on arrival would never
 * have waiting work and would starve. Shares that add up to more than 1 are scaled down to 1. Service outside the guaranteed
 * slot never creates a debt, so a class that used idle capacity keeps its guarantee.
 */
public final class ClassShares {
    // One token was too little: a class whose requests are refused while it pays off an advance lost 10% of its share.
    private static final double IDLE_BURST_TOKENS = 8_192;
    // Bounds the burst of a class whose requests could not be placed for a while because of exclusions.
    private static final double CREDIT_MAX_TOKENS = 65_536;
    // Operators rarely define more than a few dozen classes; more entries are left over from renamed ones.
    private static final int CLASSES_KEPT = 256;

    private final Map<ClassKey, Share> shares = new LinkedHashMap<>();

    /** Counts a request that starts to wait. */
    public void arrived(RequestClass requestClass) {
        share(requestClass).waiting++;
    }

    /** Counts a request that no longer waits, for whatever reason. */
    public void left(RequestClass requestClass) {
        Share share = share(requestClass);
        share.waiting--;
        share.cap();
    }

    /** Returns whether the class is behind its share, so that one of its requests may hold the guaranteed slot. */
    public boolean isBehind(RequestClass requestClass) {
        return share(requestClass).isBehind();
    }

    /** Returns the tokens that the class may still receive through its guaranteed slot; negative after an advance. */
    public double creditTokens(RequestClass requestClass) {
        return share(requestClass).creditTokens;
    }

    /** Returns the classes that have waiting work and are behind, longest behind first, then higher tiers. */
    List<ClassKey> behindWithWaiting() {
        return shares.entrySet().stream()
                .filter(entry ->
                        entry.getValue().waiting > 0 && entry.getValue().isBehind())
                .sorted(Comparator.<Map.Entry<ClassKey, Share>>comparingDouble(
                                entry -> -entry.getValue().creditTokens / entry.getValue().ratio)
                        .thenComparing(entry -> entry.getKey().tier())
                        .thenComparing(entry -> entry.getKey().name()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Charges tokens on dispatch, or a correction of an earlier charge, which may be negative.
     *
     * @param guaranteed whether the request took the class's guaranteed slot
     */
    public void charge(RequestClass requestClass, double tokens, boolean guaranteed) {
        double ratios = 0;
        for (Share share : shares.values()) {
            ratios += share.ratio;
        }
        double scale = Math.max(1, ratios);
        for (Share share : shares.values()) {
            share.creditTokens += tokens * share.ratio / scale;
            share.cap();
        }
        Share own = share(requestClass);
        if (guaranteed) {
            own.creditTokens -= tokens;
        } else if (tokens > 0 && own.creditTokens > 0) {
            own.creditTokens = Math.max(0, own.creditTokens - tokens);
        }
        own.cap();
    }

    private Share share(RequestClass requestClass) {
        if (shares.size() > CLASSES_KEPT) {
            shares.values().removeIf(share -> share.waiting == 0 && share.creditTokens >= share.idleCreditTokens());
        }
        Share share = shares.computeIfAbsent(ClassKey.of(requestClass), key -> new Share());
        share.ratio = requestClass.guaranteedShareRatio();
        return share;
    }

    private static final class Share {
        private double ratio;
        /** At most the share of the idle burst while nothing waits. */
        private double creditTokens = 1;

        private int waiting;

        boolean isBehind() {
            return ratio > 0 && creditTokens > 0;
        }

        double idleCreditTokens() {
            return Math.max(1, ratio * IDLE_BURST_TOKENS);
        }

        void cap() {
            creditTokens = Math.min(creditTokens, waiting == 0 ? idleCreditTokens() : CREDIT_MAX_TOKENS);
        }
    }
}
