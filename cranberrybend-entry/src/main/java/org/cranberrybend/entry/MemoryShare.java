package org.cranberrybend.entry;

import org.cranberrybend.entry.http.MessageMemoryLimit;

/**
 * A share of the instance's memory and of the heap; the smaller one counts. The heap is the same on all instances, so
 * that a share of the memory alone does not fit into it on large ones.
 *
 * @param memoryRatio share of the instance's memory
 * @param heapRatio share of the largest heap
 */
record MemoryShare(double memoryRatio, double heapRatio) {
    private static final long BYTES_PER_MB = 1024L * 1024L;

    MessageMemoryLimit limit(int memoryMb) {
        double bytes = Math.min(
                memoryMb * BYTES_PER_MB * memoryRatio, Runtime.getRuntime().maxMemory() * heapRatio);
        return new MessageMemoryLimit((long) bytes);
    }
}
