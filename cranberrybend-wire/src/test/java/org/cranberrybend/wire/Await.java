package org.cranberrybend.wire;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions of running services. */
public final class Await {
    /** Only a failing test waits this long. */
    private static final long BOUND_MS = 60_000;

    private static final long POLL_MS = 10;

    private Await() {}

    /** Returns when the condition holds; fails if it does not within a minute. */
    public static void until(String description, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BOUND_MS);
        CountDownLatch never = new CountDownLatch(1);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("not within " + BOUND_MS + " ms: " + description);
            }
            never.await(POLL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
