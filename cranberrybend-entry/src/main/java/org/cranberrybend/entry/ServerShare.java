package org.cranberrybend.entry;

/**
 * What each server of an instance may use for its connections. The shares are separate, so that no crowd at one port
 * takes the memory or the descriptors of another one.
 */
enum ServerShare {
    CALLERS("caller", 0.08, 0.25, 0.5),
    CONTROL("control", 0.04, 0.10, 0.1),
    METRICS("metrics", 0.01, 0.02, 0.03),
    READINESS("readiness", 0.01, 0.02, 0.03);

    private static final int MIN_CONNECTIONS = 4;

    private final String metricPrefix;
    private final MemoryShare memory;
    private final double descriptorRatio;

    ServerShare(String metricPrefix, double memoryRatio, double heapRatio, double descriptorRatio) {
        this.metricPrefix = metricPrefix;
        this.memory = new MemoryShare(memoryRatio, heapRatio);
        this.descriptorRatio = descriptorRatio;
    }

    String metricPrefix() {
        return metricPrefix;
    }

    MemoryShare memory() {
        return memory;
    }

    /** Returns the largest number of connections; 0 descriptors stand for an unknown number. */
    int maxConnections(int maxDescriptors) {
        return maxDescriptors == 0
                ? Integer.MAX_VALUE
                : Math.max(MIN_CONNECTIONS, (int) (maxDescriptors * descriptorRatio));
    }
}
