package org.cranberrybend.experiment.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Reads CPU time and heap. CPU time of the calling thread is used in place of elapsed time, because the machine may run
 * other work; it leaves out garbage collection, which runs on a thread of the virtual machine.
 */
final class Probe {
    private static final long WARM_UP_NS = 600_000_000;
    private static final int WARM_UPS_MIN = 5;
    private static final int RUNS = 21;
    private static final int HEAP_RUNS = 3;
    private static final int COLLECTIONS = 4;
    private static final double NS_PER_US = 1e3;
    private static final double NS_PER_S = 1e9;

    private Probe() {}

    /** Returns the median CPU time of an action in microseconds, after it was run long enough to be compiled. */
    static double medianCpuUs(Runnable action) {
        long warmUpEndNs = threadCpuNs() + WARM_UP_NS;
        int warmUps = 0;
        while (warmUps < WARM_UPS_MIN || threadCpuNs() < warmUpEndNs) {
            action.run();
            warmUps++;
        }
        double[] timesUs = new double[RUNS];
        for (int i = 0; i < RUNS; i++) {
            long startNs = threadCpuNs();
            action.run();
            timesUs[i] = (threadCpuNs() - startNs) / NS_PER_US;
        }
        return median(timesUs);
    }

    private static long threadCpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        return values[values.length / 2];
    }

    /** Returns the median heap in KiB that is in use after a collection because of one more object. */
    static <T> double retainedKib(Supplier<T> create) {
        // The first object fills the caches of its sources, which must not be counted.
        create.get();
        // An array element can be cleared; a local variable may keep the object of the previous round.
        Object[] retained = new Object[1];
        double[] kib = new double[HEAP_RUNS];
        for (int i = 0; i < HEAP_RUNS; i++) {
            retained[0] = null;
            long before = usedHeapBytes();
            retained[0] = create.get();
            kib[i] = (usedHeapBytes() - before) / 1024.0;
            Reference.reachabilityFence(retained);
        }
        return median(kib);
    }

    private static long usedHeapBytes() {
        // The serial collector compacts fully only at each fourth collection and leaves dead objects at the others.
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Returns the CPU time of this process in seconds, all threads and garbage collection included. */
    static double processCpuS() {
        return ProcessHandle.current().info().totalCpuDuration().orElseThrow().toNanos() / NS_PER_S;
    }
}
