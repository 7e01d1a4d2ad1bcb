package org.cranberrybend.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Slots of the engine's batch: at most {@code slots} requests run concurrently; the others wait, ordered by priority
 * and arrival. Invariant: requests wait only while all slots are in use.
 */
final class SlotTable {
    private final int slots;
    private final List<Generation> running = new ArrayList<>();
    private final PriorityQueue<Generation> waiting = new PriorityQueue<>(
            Comparator.comparingInt((Generation each) -> each.request().priority())
                    .thenComparingLong(Generation::sequence));

    /**
     * Load of the engine at one moment.
     *
     * @param running number of requests in the batch
     * @param waiting number of requests in the queue
     * @param kvUsedTokens KV cache tokens of the running requests
     */
    record Load(int running, int waiting, long kvUsedTokens) {}

    SlotTable(int slots) {
        this.slots = slots;
    }

    /** Adds a request to the batch or to the queue. */
    synchronized void submit(Generation generation) {
        if (running.size() < slots) {
            running.add(generation);
        } else {
            waiting.add(generation);
        }
    }

    /** Waits for a slot for at most the given time and returns whether the request has one. */
    synchronized boolean awaitSlot(Generation generation, long waitMs) throws InterruptedException {
        if (!running.contains(generation) && !generation.isCancelled()) {
            wait(waitMs);
        }
        return running.contains(generation);
    }

    /** Removes a request and grants its slot to the first request in the queue. */
    synchronized void release(Generation generation) {
        waiting.remove(generation);
        if (running.remove(generation) && !waiting.isEmpty()) {
            running.add(waiting.poll());
        }
        notifyAll();
    }

    /** Cancels all requests with an identifier and returns their number. */
    synchronized int cancel(String requestId) {
        List<Generation> all = new ArrayList<>(running);
        all.addAll(waiting);
        List<Generation> found = all.stream()
                .filter(each -> each.request().requestId().equals(requestId))
                .toList();
        found.forEach(Generation::cancel);
        notifyAll();
        return found.size();
    }

    synchronized Load load() {
        long kvTokens = running.stream().mapToLong(Generation::kvTokens).sum();
        return new Load(running.size(), waiting.size(), kvTokens);
    }
}
