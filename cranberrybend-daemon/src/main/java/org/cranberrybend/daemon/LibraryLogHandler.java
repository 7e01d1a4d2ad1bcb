package org.cranberrybend.daemon;

import java.io.PrintStream;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes what libraries log, without a time of day: the JDK's own handler loads time zones from a file for it, and its
 * error ended the event loop when no descriptor was left. Remembers the last error for the last line of a process.
 */
final class LibraryLogHandler extends Handler {
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long SECOND_MS = 1_000;

    private final PrintStream output;
    private volatile Throwable lastThrown;
    private long secondStartMs;
    private int linesInSecond;

    LibraryLogHandler(PrintStream output) {
        this.output = output;
        setLevel(Level.INFO);
    }

    /** Makes this handler the only one of the process. */
    void install() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(this);
    }

    @Override
    public synchronized void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        if (record.getThrown() != null) {
            lastThrown = record.getThrown();
        }
        if (record.getMillis() - secondStartMs >= SECOND_MS) {
            secondStartMs = record.getMillis();
            linesInSecond = 0;
        }
        if (linesInSecond++ < MAX_LINES_PER_SECOND) {
            output.println(record.getLevel().getName() + " " + record.getLoggerName() + ": " + record.getMessage()
                    + (record.getThrown() == null ? "" : ": " + record.getThrown()));
        }
    }

    /** Returns the last exception or error that a library logged. */
    Optional<Throwable> lastThrown() {
        return Optional.ofNullable(lastThrown);
    }

    @Override
    public void flush() {
        output.flush();
    }

    @Override
    public void close() {
        flush();
    }
}
