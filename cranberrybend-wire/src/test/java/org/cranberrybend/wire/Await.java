package org.cranberrybend.wire;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions in tests of running services. */
public final class Await {
    private static final long TIMEOUT_MS = 60_000;

    private static final long POLL_MS = 10;

    private Await() {}

    /** Returns once the condition holds; fails after the timeout. */
    public static void until(String description, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        CountDownLatch never = new CountDownLatch(1);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("condition not met within " + TIMEOUT_MS + " ms: " + description);
            }
            never.await(POLL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
