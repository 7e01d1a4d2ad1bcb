package org.cranberrybend.router.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.routing.PoolKey;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.wire.node.UpstreamSource;

/**
 * Slot broker of a router that owns all shards: one bounded queue per pool, ordered by tier and then arrival.
 *
 * <p>{@code lock} takes the place of the dispatch queue lock in the lock order. The upstream source is read before it
 * is acquired, and no foreign code is called while it is held.
 */
public final class LocalSlotBroker implements SlotBroker {
    private static final int MAX_WAITING_PER_POOL = 256;
    // Bounds the delay in detecting a disconnected caller; each check blocks its thread for up to 1 ms.
    private static final long CALLER_CHECK_INTERVAL_MS = 50;
    // An upstream that failed this recently is used only if no other has a free slot.
    private static final long FAILURE_PENALTY_MS = 2_000;
    private static final long RETRY_AFTER_MS = 1_000;

    private final String ownerMemberId;
    private final UpstreamSource source;
    private final TimeSource timeSource;
    private final Object lock = new Object();
    private final Map<PoolKey, TreeSet<WaitingRequest>> pools = new HashMap<>();
    private final Map<String, Integer> slotsInUse = new HashMap<>();
    private final Map<String, Long> failedAtMs = new HashMap<>();
    private final Set<String> leaving = new HashSet<>();
    private long lastSequence;
    private long lastSlot;

    private static final class WaitingRequest implements Comparable<WaitingRequest> {
        private static final Comparator<WaitingRequest> ORDER = Comparator.comparing(WaitingRequest::tier)
                .thenComparingLong(each -> each.request.arrivalMs())
                .thenComparingLong(each -> each.sequence);

        private final QueuedRequest request;
        private final long sequence;
        private final CompletableFuture<SlotGrant> result = new CompletableFuture<>();

        WaitingRequest(QueuedRequest request, long sequence) {
            this.request = request;
            this.sequence = sequence;
        }

        Tier tier() {
            return request.requestClass().tier();
        }

        void refuse(ErrorCode code, Object... arguments) {
            result.completeExceptionally(RequestFailedException.notRunRetryAfter(RETRY_AFTER_MS, code, arguments));
        }

        @Override
        public int compareTo(WaitingRequest other) {
            return ORDER.compare(this, other);
        }
    }

    /** Creates a broker over the listed upstreams. */
    public LocalSlotBroker(String ownerMemberId, UpstreamSource source, TimeSource timeSource) {
        this.ownerMemberId = ownerMemberId;
        this.source = source;
        this.timeSource = timeSource;
        source.addUpstreamListener(this::upstreamsChanged);
    }

    @Override
    public SlotGrant acquire(QueuedRequest request, String zone, BooleanSupplier callerDisconnected)
            throws RequestFailedException, InterruptedException {
        PoolKey pool = new PoolKey(zone, request.service());
        WaitingRequest waiting = enqueue(pool, request, source.upstreams());
        try {
            while (true) {
                try {
                    return waiting.result.get(CALLER_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
                } catch (TimeoutException e) {
                    if (callerDisconnected.getAsBoolean() || timeSource.monotonicMs() >= request.deadlineMs()) {
                        cancel(pool, waiting);
                        throw RequestFailedException.notRun(ErrorCode.SHED);
                    }
                } catch (ExecutionException e) {
                    throw (RequestFailedException) e.getCause();
                }
            }
        } catch (InterruptedException e) {
            cancel(pool, waiting);
            throw e;
        }
    }

    private WaitingRequest enqueue(PoolKey pool, QueuedRequest request, List<Upstream> upstreams) {
        synchronized (lock) {
            WaitingRequest waiting = new WaitingRequest(request, ++lastSequence);
            TreeSet<WaitingRequest> queue = pools.computeIfAbsent(pool, ignored -> new TreeSet<>());
            queue.add(waiting);
            grantFreeSlotsOf(pool, queue, upstreams);
            if (queue.size() > MAX_WAITING_PER_POOL) {
                // The last entry is the newest request of the lowest tier in the queue, possibly the one just added.
                queue.pollLast().refuse(ErrorCode.SHED);
            }
            if (queue.isEmpty()) {
                pools.remove(pool);
            }
            return waiting;
        }
    }

    private void cancel(PoolKey pool, WaitingRequest waiting) {
        List<Upstream> upstreams = source.upstreams();
        synchronized (lock) {
            TreeSet<WaitingRequest> queue = pools.get(pool);
            if (queue != null) {
                queue.remove(waiting);
            }
            if (waiting.result.isDone() && !waiting.result.isCompletedExceptionally()) {
                decrementSlotsInUse(waiting.result.join().upstream().id());
                grantFreeSlots(upstreams);
            }
        }
    }

    @Override
    public void release(SlotGrant grant, SlotOutcome outcome) {
        List<Upstream> upstreams = source.upstreams();
        String upstreamId = grant.upstream().id();
        synchronized (lock) {
            decrementSlotsInUse(upstreamId);
            if (outcome.result().isLeaving()) {
                leaving.add(upstreamId);
            } else if (outcome.result().isFailure()) {
                failedAtMs.put(upstreamId, timeSource.monotonicMs());
            } else {
                failedAtMs.remove(upstreamId);
            }
            grantFreeSlots(upstreams);
        }
    }

    private void decrementSlotsInUse(String upstreamId) {
        slotsInUse.merge(upstreamId, -1, (used, change) -> used + change == 0 ? null : used + change);
    }

    private void upstreamsChanged() {
        List<Upstream> upstreams = source.upstreams();
        synchronized (lock) {
            Set<String> listed = new HashSet<>();
            upstreams.forEach(each -> listed.add(each.id()));
            leaving.retainAll(listed);
            failedAtMs.keySet().retainAll(listed);
            grantFreeSlots(upstreams);
        }
    }

    private void grantFreeSlots(List<Upstream> upstreams) {
        pools.forEach((pool, queue) -> grantFreeSlotsOf(pool, queue, upstreams));
        pools.values().removeIf(TreeSet::isEmpty);
    }

    private void grantFreeSlotsOf(PoolKey pool, TreeSet<WaitingRequest> queue, List<Upstream> upstreams) {
        List<Upstream> members = upstreams.stream()
                .filter(each -> pool.contains(each) && !each.leaving() && !leaving.contains(each.id()))
                .toList();
        queue.removeIf(waiting -> {
            Set<String> excluded = waiting.request.excludedUpstreams();
            if (members.stream().allMatch(each -> excluded.contains(each.id()))) {
                waiting.refuse(ErrorCode.NO_UPSTREAM, pool.service());
                return true;
            }
            Optional<Upstream> best = members.stream()
                    .filter(each -> !excluded.contains(each.id()))
                    .filter(each -> used(each) < each.capacitySlots())
                    .min(Comparator.comparing(this::failedRecently)
                            .thenComparingInt(this::used)
                            .thenComparing(Upstream::id));
            best.ifPresent(upstream -> {
                slotsInUse.merge(upstream.id(), 1, Integer::sum);
                String slotId = ownerMemberId + "/" + ++lastSlot;
                waiting.result.complete(new SlotGrant(slotId, waiting.request.requestId(), upstream, ownerMemberId));
            });
            return best.isPresent();
        });
    }

    private int used(Upstream upstream) {
        return slotsInUse.getOrDefault(upstream.id(), 0);
    }

    private boolean failedRecently(Upstream upstream) {
        Long failed = failedAtMs.get(upstream.id());
        return failed != null && timeSource.monotonicMs() - failed < FAILURE_PENALTY_MS;
    }

    /** Returns the number of slots in use over all upstreams. */
    public int slotsInUse() {
        synchronized (lock) {
            return slotsInUse.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /** Returns the number of waiting requests. */
    public int waitingCount() {
        synchronized (lock) {
            return pools.values().stream().mapToInt(TreeSet::size).sum();
        }
    }
}
