package org.cranberrybend.experiment.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures CPU time and heap. The CPU time of the calling thread is used instead of elapsed time, because the machine
 * may run other work; it excludes garbage collection, which runs on a thread of the virtual machine.
 */
final class ResourceMeter {
    private static final long WARM_UP_NS = 600_000_000;
    private static final int MIN_WARM_UPS = 5;
    private static final int RUNS = 21;
    private static final int HEAP_RUNS = 3;
    private static final int GC_CYCLES = 4;
    private static final double NS_PER_US = 1e3;
    private static final double NS_PER_S = 1e9;

    private ResourceMeter() {}

    /** Returns the median CPU time of an action in microseconds, after a warm-up long enough for JIT compilation. */
    static double medianCpuUs(Runnable action) {
        long warmUpEndNs = threadCpuNs() + WARM_UP_NS;
        int warmUps = 0;
        while (warmUps < MIN_WARM_UPS || threadCpuNs() < warmUpEndNs) {
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

    /** Returns the median increase in KiB of the used heap after garbage collection, due to one more object. */
    static <T> double retainedKib(Supplier<T> create) {
        // The first call fills caches in the objects that it reads from; these must not be counted.
        create.get();
        // An array element can be cleared, while a local variable may keep the object of the previous run reachable.
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
        // The serial collector compacts fully only in every fourth collection and leaves dead objects in the others.
        for (int i = 0; i < GC_CYCLES; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Returns the CPU time of this process in seconds, including all threads and garbage collection. */
    static double processCpuS() {
        return ProcessHandle.current().info().totalCpuDuration().orElseThrow().toNanos() / NS_PER_S;
    }
}
