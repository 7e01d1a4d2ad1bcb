package org.cranberrybend.experiment.check;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits for conditions of a running fleet. */
public final class Await {
    private static final long POLL_MS = 20;

    private Await() {}

    /** A condition that is asked again until it holds; an {@link IOException} means that it does not hold yet. */
    @FunctionalInterface
    public interface Condition {
        /** Returns whether the condition holds. */
        boolean holds() throws IOException, CheckFailedException;
    }

    /** Returns when the condition holds; fails if it does not within the bound. */
    public static void until(String description, int boundSeconds, Condition condition)
            throws CheckFailedException, InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(boundSeconds);
        CountDownLatch never = new CountDownLatch(1);
        String last = "";
        while (true) {
            try {
                if (condition.holds()) {
                    return;
                }
            } catch (IOException e) {
                last = "; last failure: " + e.getMessage();
            }
            if (System.nanoTime() > endNs) {
                throw new CheckFailedException("not within " + boundSeconds + " s: " + description + last);
            }
            never.await(POLL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
