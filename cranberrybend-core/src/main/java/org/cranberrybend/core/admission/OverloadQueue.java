package org.cranberrybend.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The requests of one service that wait at an instance while all upstreams are full, and the order in which they are
 * sent: by priority, then by the fair share of tokens among the client accounts, then by the time until which they may
 * wait. Requests of one account with the same target are sent in the order of their arrival, so that small and large ones
 * get places in proportion to their numbers, and a request that was refused and comes back is behind the earlier ones.
 *
 * <p>The queue is bounded by number and bytes. If it is full, an arriving request takes the place of the one that would
 * be sent last: of a lower priority, or of an account with more waiting requests than its own.
 *
 * <p>Not thread-safe. Times are milliseconds on the owner's monotonic clock.
 *
 * @param <T> type of the requests
 */
public final class OverloadQueue<T> {
    /** Tokens charged for any request, so that those without a prompt share by number. */
    private static final double MIN_REQUEST_TOKENS = 100;

    /**
     * What the place of a request depends on.
     *
     * @param clientAccount account; empty for anonymous requests, which share one account
     * @param priority 0 is the highest
     * @param tokens expected tokens of prompt and output
     * @param bytes memory that the request holds
     * @param latestSendMs time until which it may wait
     */
    public record Demand(String clientAccount, int priority, double tokens, long bytes, long latestSendMs) {}

    /** A waiting request. */
    public static final class Entry<T> {
        private final T request;
        private final Demand demand;
        private final long sequence;
        private boolean waiting = true;

        private Entry(T request, Demand demand, long sequence) {
            this.request = request;
            this.demand = demand;
            this.sequence = sequence;
        }

        /** Returns the request. */
        public T request() {
            return request;
        }

        /** Returns what its place depends on. */
        public Demand demand() {
            return demand;
        }

        /** Returns whether it still waits. */
        public boolean isWaiting() {
            return waiting;
        }
    }

    /** The waiting requests of one priority, by account. */
    private static final class Level<T> {
        private final VirtualTokenCounters counters = new VirtualTokenCounters();
        private final TreeMap<String, TreeSet<Entry<T>>> byAccount = new TreeMap<>();
    }

    private final int maxRequests;
    private final long maxBytes;
    private final Comparator<Entry<T>> byLatestSend = Comparator.<Entry<T>>comparingLong(
                    each -> each.demand.latestSendMs())
            .thenComparingLong(each -> each.sequence);
    /** Levels stay when they are empty, so that an account keeps its counter. */
    private final TreeMap<Integer, Level<T>> levels = new TreeMap<>();

    private final TreeSet<Entry<T>> all = new TreeSet<>(byLatestSend);
    private long bytes;
    private long added;

    /** Creates an empty queue with its bounds. */
    public OverloadQueue(int maxRequests, long maxBytes) {
        this.maxRequests = maxRequests;
        this.maxBytes = maxBytes;
    }

    /** Returns the number of waiting requests. */
    public int count() {
        return all.size();
    }

    /** Returns the memory that the waiting requests hold. */
    public long bytes() {
        return bytes;
    }

    /** Returns the number of waiting requests that are sent before one of the given priority that arrives now. */
    public int countAhead(int priority) {
        int count = 0;
        for (Level<T> level : levels.headMap(priority, true).values()) {
            for (TreeSet<Entry<T>> requests : level.byAccount.values()) {
                count += requests.size();
            }
        }
        return count;
    }

    /** Returns whether a request fits within the bounds without another one giving way. */
    public boolean fits(Demand demand) {
        return all.size() < maxRequests && bytes + demand.bytes() <= maxBytes;
    }

    /**
     * Returns the waiting request that gives way to an arriving one in a full queue; empty if the arriving one is itself
     * the last in order.
     */
    public Optional<Entry<T>> lastBehind(Demand arriving) {
        for (Map.Entry<Integer, Level<T>> each : levels.descendingMap().entrySet()) {
            TreeMap<String, TreeSet<Entry<T>>> accounts = each.getValue().byAccount;
            if (accounts.isEmpty()) {
                continue;
            }
            TreeSet<Entry<T>> largest = null;
            for (TreeSet<Entry<T>> requests : accounts.values()) {
                largest = largest == null || requests.size() > largest.size() ? requests : largest;
            }
            if (each.getKey() > arriving.priority()) {
                return Optional.of(largest.last());
            }
            TreeSet<Entry<T>> own = accounts.get(arriving.clientAccount());
            int ownCount = own == null ? 0 : own.size();
            // The arriving request counts as one of its account, so that equal accounts do not displace each other.
            return each.getKey() == arriving.priority() && largest.size() > ownCount + 1
                    ? Optional.of(largest.last())
                    : Optional.empty();
        }
        return Optional.empty();
    }

    /** Adds a request. The caller has seen to it that it fits. */
    public Entry<T> add(T request, Demand demand) {
        Entry<T> entry = new Entry<>(request, demand, added++);
        Level<T> level = levels.computeIfAbsent(demand.priority(), number -> new Level<>());
        level.byAccount
                .computeIfAbsent(demand.clientAccount(), name -> new TreeSet<>(byLatestSend))
                .add(entry);
        level.counters.enqueued(demand.clientAccount(), 1);
        all.add(entry);
        bytes += demand.bytes();
        return entry;
    }

    /** Removes a request that is not sent; does nothing if it waits no longer. */
    public void remove(Entry<T> entry) {
        if (!entry.waiting) {
            return;
        }
        entry.waiting = false;
        Demand demand = entry.demand;
        Level<T> level = levels.get(demand.priority());
        TreeSet<Entry<T>> requests = level.byAccount.get(demand.clientAccount());
        requests.remove(entry);
        if (requests.isEmpty()) {
            level.byAccount.remove(demand.clientAccount());
        }
        level.counters.dequeued(demand.clientAccount());
        all.remove(entry);
        bytes -= demand.bytes();
    }

    /** Removes a request that is sent, and charges its account for it. */
    public void removeSent(Entry<T> entry) {
        Demand demand = entry.demand;
        if (entry.waiting) {
            double tokens = Math.max(MIN_REQUEST_TOKENS, demand.tokens());
            levels.get(demand.priority()).counters.charge(demand.clientAccount(), 1, tokens);
            remove(entry);
        }
    }

    /**
     * Returns the request that is to be sent next.
     *
     * @param placeable whether an upstream has room for a request; a request without one does not hold up the others
     */
    public Optional<Entry<T>> next(Predicate<T> placeable) {
        for (Level<T> level : levels.values()) {
            if (level.byAccount.isEmpty()) {
                continue;
            }
            List<String> accounts = new ArrayList<>(level.byAccount.keySet());
            accounts.sort(Comparator.<String>comparingDouble(level.counters::tokens)
                    .thenComparing(account -> level.byAccount.get(account).first(), byLatestSend));
            for (String account : accounts) {
                for (Entry<T> each : level.byAccount.get(account)) {
                    if (placeable.test(each.request)) {
                        return Optional.of(each);
                    }
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a waiting request is the next in order, or only requests that do not compete with it are ahead.
     *
     * @param competes whether another request could be sent to the same upstreams
     */
    public boolean isNext(Entry<T> entry, Predicate<T> competes) {
        return next(each -> each == entry.request || competes.test(each))
                .filter(first -> first == entry)
                .isPresent();
    }

    /** Returns a request that has waited for as long as it may; empty if there is none. */
    public Optional<Entry<T>> overdue(long nowMs) {
        return all.isEmpty() || all.first().demand.latestSendMs() > nowMs ? Optional.empty() : Optional.of(all.first());
    }
}
