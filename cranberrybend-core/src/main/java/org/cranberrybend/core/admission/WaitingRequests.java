package org.cranberrybend.core.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.cranberrybend.core.account.Tier;

/**
 * The waiting requests of a shard, by tier, client account and class, with the shares and the fairness that order them.
 *
 * <p>Every index holds exactly the requests of {@code byId}. Age is decided by the arrival at the entry router, then by
 * the order of the offers, so that a request resent to a new owner keeps its place.
 */
final class WaitingRequests {
    /** A waiting request with the order of its offer. */
    record Waiting(QueuedRequest request, long sequence) {
        Tier tier() {
            return request.requestClass().tier();
        }

        ClassKey classKey() {
            return ClassKey.of(request.requestClass());
        }
    }

    static final Comparator<Waiting> BY_AGE = Comparator.<Waiting>comparingLong(
                    each -> each.request().arrivalMs())
            .thenComparingLong(Waiting::sequence);
    private static final Comparator<Waiting> BY_SLACK = Comparator.<Waiting>comparingLong(
                    each -> each.request().firstTokenDueMs())
            .thenComparingLong(Waiting::sequence);
    private static final Comparator<Waiting> BY_DEADLINE = Comparator.<Waiting>comparingLong(
                    each -> each.request().deadlineMs())
            .thenComparingLong(Waiting::sequence);

    private final ClassShares shares;
    private final Map<String, Waiting> byId = new LinkedHashMap<>();
    private final Map<Tier, TreeMap<String, NavigableSet<Waiting>>> byAccount = new EnumMap<>(Tier.class);
    private final Map<Tier, TokenFairness> fairness = new EnumMap<>(Tier.class);
    private final Map<ClassKey, NavigableSet<Waiting>> byClass = new HashMap<>();
    private final NavigableSet<Waiting> byDeadline = new TreeSet<>(BY_DEADLINE);
    private final NavigableSet<Waiting> byDue = new TreeSet<>(BY_SLACK);
    private long nextSequence;

    WaitingRequests(ClassShares shares) {
        this.shares = shares;
        for (Tier tier : Tier.values()) {
            byAccount.put(tier, new TreeMap<>());
            fairness.put(tier, new TokenFairness());
        }
    }

    void add(QueuedRequest request) {
        Waiting waiting = new Waiting(request, nextSequence++);
        byId.put(request.requestId(), waiting);
        byAccount
                .get(waiting.tier())
                .computeIfAbsent(request.clientAccount(), name -> new TreeSet<>(BY_SLACK))
                .add(waiting);
        byClass.computeIfAbsent(waiting.classKey(), key -> new TreeSet<>(BY_AGE))
                .add(waiting);
        byDeadline.add(waiting);
        byDue.add(waiting);
        fairness.get(waiting.tier()).arrived(request.clientAccount(), request.weightRatio());
        shares.arrived(request.requestClass());
    }

    Optional<QueuedRequest> remove(String requestId) {
        Waiting waiting = byId.remove(requestId);
        if (waiting == null) {
            return Optional.empty();
        }
        QueuedRequest request = waiting.request();
        TreeMap<String, NavigableSet<Waiting>> accounts = byAccount.get(waiting.tier());
        accounts.get(request.clientAccount()).remove(waiting);
        if (accounts.get(request.clientAccount()).isEmpty()) {
            accounts.remove(request.clientAccount());
        }
        byClass.get(waiting.classKey()).remove(waiting);
        if (byClass.get(waiting.classKey()).isEmpty()) {
            byClass.remove(waiting.classKey());
        }
        byDeadline.remove(waiting);
        byDue.remove(waiting);
        fairness.get(waiting.tier()).left(request.clientAccount());
        shares.left(request.requestClass());
        return Optional.of(request);
    }

    boolean contains(String requestId) {
        return byId.containsKey(requestId);
    }

    int size() {
        return byId.size();
    }

    Collection<Waiting> all() {
        return byId.values();
    }

    TokenFairness fairness(Tier tier) {
        return fairness.get(tier);
    }

    /** Returns the accounts with waiting requests of a tier; within each, the least slack is first. */
    TreeMap<String, NavigableSet<Waiting>> accounts(Tier tier) {
        return byAccount.get(tier);
    }

    /** Returns the waiting requests of a class, oldest first. */
    NavigableSet<Waiting> ofClass(ClassKey key) {
        return byClass.getOrDefault(key, new TreeSet<>(BY_AGE));
    }

    /** Returns the waiting request whose deadline is first, if any. */
    Optional<QueuedRequest> firstDeadline() {
        return byDeadline.isEmpty()
                ? Optional.empty()
                : Optional.of(byDeadline.first().request());
    }

    NavigableSet<Waiting> allByDue() {
        return byDue;
    }

    /** Returns whether a waiting request is the oldest of a class that is behind its share. */
    boolean holdsGuaranteedSlot(Waiting waiting) {
        return shares.isBehind(waiting.request().requestClass())
                && ofClass(waiting.classKey()).first().equals(waiting);
    }

    /** Returns how many waiting requests hold a guaranteed slot. */
    int guaranteedHolders() {
        return shares.behindWithWaiting().size();
    }

    /** Returns the request that is served next, given which requests can be placed and which tiers leave the reserve. */
    Optional<Waiting> next(Predicate<QueuedRequest> placeable, Predicate<Tier> leavesReserve) {
        for (ClassKey key : shares.behindWithWaiting()) {
            Waiting oldest = ofClass(key).first();
            if (placeable.test(oldest.request())) {
                return Optional.of(oldest);
            }
        }
        for (Tier tier : Tier.values()) {
            if (!leavesReserve.test(tier)) {
                // A slot that a waiting request of this tier must leave is not for a lower tier either.
                if (!byAccount.get(tier).isEmpty()) {
                    return Optional.empty();
                }
                continue;
            }
            for (String account : fairness.get(tier).order()) {
                for (Waiting waiting : byAccount.get(tier).get(account)) {
                    if (placeable.test(waiting.request())) {
                        return Optional.of(waiting);
                    }
                }
            }
        }
        return Optional.empty();
    }
}
