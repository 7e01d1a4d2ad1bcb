package org.cranberrybend.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The engine's batch: at most {@code slots} requests run at a time; the others wait in the order of their priority and
 * arrival. Invariant: requests wait only while every slot is taken.
 */
final class SlotTable {
    private final int slots;
    private final List<Generation> running = new ArrayList<>();
    private final PriorityQueue<Generation> waiting = new PriorityQueue<>(
            Comparator.comparingInt((Generation each) -> each.request().priority())
                    .thenComparingLong(Generation::sequence));

    /**
     * Load of the engine at one time.
     *
     * @param running requests in the batch
     * @param waiting requests in the queue
     * @param kvUsedTokens tokens held for the running requests
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

    /** Waits at most the given time for a slot and returns whether the request has one. */
    synchronized boolean awaitSlot(Generation generation, long waitMs) throws InterruptedException {
        if (!running.contains(generation) && !generation.isCancelled()) {
            wait(waitMs);
        }
        return running.contains(generation);
    }

    /** Removes a request and gives its slot to the first one in the queue. */
    synchronized void release(Generation generation) {
        waiting.remove(generation);
        if (running.remove(generation) && !waiting.isEmpty()) {
            running.add(waiting.poll());
        }
        notifyAll();
    }

    /** Cancels every request with an identifier and returns their count. */
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
