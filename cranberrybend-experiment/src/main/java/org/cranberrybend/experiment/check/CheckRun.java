package org.cranberrybend.experiment.check;

import java.io.IOException;
import java.io.PrintStream;

/** Runs checks sequentially, prints the result of each and counts passes and failures. */
final class CheckRun {
    private final PrintStream out;
    private int failed;
    private int passed;

    CheckRun(PrintStream out) {
        this.out = out;
    }

    /** The body of a check; it fails by throwing. */
    @FunctionalInterface
    interface Check {
        void run() throws CheckFailedException, IOException, InterruptedException;
    }

    void check(String name, Check check) throws InterruptedException {
        try {
            check.run();
            passed++;
            out.println("ok " + name);
        } catch (CheckFailedException | IOException e) {
            failed++;
            out.println("FAILED " + name + ": " + e.getMessage());
        } catch (RuntimeException e) {
            failed++;
            out.println("FAILED " + name + ": " + e);
        }
    }

    boolean hasFailed() {
        return failed > 0;
    }

    int count() {
        return passed + failed;
    }

    int failedCount() {
        return failed;
    }
}
