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
 * The waiting requests of a shard, indexed by tier, client account and class, and the order in which they are served.
 *
 * <p>Every index holds exactly the requests of {@code byId}. Requests are ordered by their arrival at the entry router,
 * then by the order of their offers, so that a request that is offered again to a new owner keeps its place.
 */
final class WaitingRequests {
    /** A waiting request and its position in the order of offers. */
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
    private static final Comparator<Waiting> BY_FIRST_TOKEN_DUE = Comparator.<Waiting>comparingLong(
                    each -> each.request().firstTokenDueMs())
            .thenComparingLong(Waiting::sequence);
    private static final Comparator<Waiting> BY_DEADLINE = Comparator.<Waiting>comparingLong(
                    each -> each.request().deadlineMs())
            .thenComparingLong(Waiting::sequence);

    private final ClassShares shares;
    private final Map<String, Waiting> byId = new LinkedHashMap<>();
    private final Map<Tier, TreeMap<String, NavigableSet<Waiting>>> byAccount = new EnumMap<>(Tier.class);
    private final Map<Tier, VirtualTokenCounters> tokenCounters = new EnumMap<>(Tier.class);
    private final Map<ClassKey, NavigableSet<Waiting>> byClass = new HashMap<>();
    private final NavigableSet<Waiting> byDeadline = new TreeSet<>(BY_DEADLINE);
    private final NavigableSet<Waiting> byFirstTokenDue = new TreeSet<>(BY_FIRST_TOKEN_DUE);
    private long nextSequence;

    WaitingRequests(ClassShares shares) {
        this.shares = shares;
        for (Tier tier : Tier.values()) {
            byAccount.put(tier, new TreeMap<>());
            tokenCounters.put(tier, new VirtualTokenCounters());
        }
    }

    void add(QueuedRequest request) {
        Waiting waiting = new Waiting(request, nextSequence++);
        byId.put(request.requestId(), waiting);
        byAccount
                .get(waiting.tier())
                .computeIfAbsent(request.clientAccount(), name -> new TreeSet<>(BY_FIRST_TOKEN_DUE))
                .add(waiting);
        byClass.computeIfAbsent(waiting.classKey(), key -> new TreeSet<>(BY_AGE))
                .add(waiting);
        byDeadline.add(waiting);
        byFirstTokenDue.add(waiting);
        tokenCounters.get(waiting.tier()).enqueued(request.clientAccount(), request.weightRatio());
        shares.enqueued(request.requestClass());
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
        byFirstTokenDue.remove(waiting);
        tokenCounters.get(waiting.tier()).dequeued(request.clientAccount());
        shares.dequeued(request.requestClass());
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

    VirtualTokenCounters tokenCounters(Tier tier) {
        return tokenCounters.get(tier);
    }

    /** Returns the accounts with waiting requests of a tier, each with its requests by first-token due time. */
    TreeMap<String, NavigableSet<Waiting>> accounts(Tier tier) {
        return byAccount.get(tier);
    }

    /** Returns the waiting requests of a class, oldest first. */
    NavigableSet<Waiting> ofClass(ClassKey key) {
        return byClass.getOrDefault(key, new TreeSet<>(BY_AGE));
    }

    /** Returns the waiting request with the earliest deadline, if any. */
    Optional<QueuedRequest> earliestDeadline() {
        return byDeadline.isEmpty()
                ? Optional.empty()
                : Optional.of(byDeadline.first().request());
    }

    NavigableSet<Waiting> allByFirstTokenDue() {
        return byFirstTokenDue;
    }

    /** Returns whether a waiting request is the oldest of a class that is below its share. */
    boolean holdsGuaranteedSlot(Waiting waiting) {
        return shares.isBelowShare(waiting.request().requestClass())
                && ofClass(waiting.classKey()).first().equals(waiting);
    }

    /** Returns how many waiting requests hold a guaranteed slot. */
    int guaranteedSlotHolders() {
        return shares.backloggedBelowShare().size();
    }

    /**
     * Returns the request to serve next.
     *
     * @param placeable whether an upstream with a free slot may serve a request
     * @param keepsReserve whether a grant to a tier leaves the reserve of the higher tiers intact
     */
    Optional<Waiting> next(Predicate<QueuedRequest> placeable, Predicate<Tier> leavesReserve) {
        for (ClassKey key : shares.backloggedBelowShare()) {
            Waiting oldest = ofClass(key).first();
            if (placeable.test(oldest.request())) {
                return Optional.of(oldest);
            }
        }
        for (Tier tier : Tier.values()) {
            if (!leavesReserve.test(tier)) {
                // A slot that is reserved from a waiting request of this tier must not go to a lower tier either.
                if (!byAccount.get(tier).isEmpty()) {
                    return Optional.empty();
                }
                continue;
            }
            for (String account : tokenCounters.get(tier).serviceOrder()) {
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
