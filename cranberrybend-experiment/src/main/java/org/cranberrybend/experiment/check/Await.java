package org.cranberrybend.experiment.check;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Polls a running fleet until a condition holds. */
public final class Await {
    private static final long POLL_MS = 20;

    private Await() {}

    /** A condition that is polled; an {@link IOException} counts as not holding yet. */
    @FunctionalInterface
    public interface Condition {
        /** Returns whether the condition holds; a {@link CheckFailedException} ends the wait with a failure. */
        boolean holds() throws IOException, CheckFailedException;
    }

    /**
     * Polls until the condition holds.
     *
     * @throws CheckFailedException if the condition does not hold within the timeout, with the last {@link IOException}
     *     in the message
     */
    public static void until(String description, int timeoutSeconds, Condition condition)
            throws CheckFailedException, InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        CountDownLatch never = new CountDownLatch(1);
        String lastFailure = "";
        while (true) {
            try {
                if (condition.holds()) {
                    return;
                }
            } catch (IOException e) {
                lastFailure = "; last failure: " + e.getMessage();
            }
            if (System.nanoTime() > endNs) {
                throw new CheckFailedException(
                        "timed out after " + timeoutSeconds + " s waiting until " + description + lastFailure);
            }
            never.await(POLL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
