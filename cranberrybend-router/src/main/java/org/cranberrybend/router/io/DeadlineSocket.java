package org.cranberrybend.router.io;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.cranberrybend.core.time.TimeSource;

/**
 * Socket that bounds a sequence of reads by a deadline and a number of bytes, and knows whether anything was written.
 *
 * <p>A socket timeout bounds a single read only: a peer that sends one byte at a time passes it forever.
 */
public final class DeadlineSocket extends Socket {
    /** Deadline or byte bound that never applies. */
    public static final long UNBOUNDED = Long.MAX_VALUE;

    // Bounds how late a vanished caller or revoked key is noticed while the other side is silent.
    private static final long ABORT_CHECK_INTERVAL_MS = 100;

    private final TimeSource timeSource;
    private volatile ReadAbortCheck readAbortCheck;
    private volatile long readDeadlineMs = UNBOUNDED;
    private volatile long readableBytes = UNBOUNDED;
    private volatile boolean outputStarted;
    private volatile long writeStartedMs = UNBOUNDED;

    /** Creates an unconnected socket with the clock of its deadlines. */
    public DeadlineSocket(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Sets the time on the monotonic clock after which reads fail with {@link SocketTimeoutException}. */
    public void setReadDeadlineMs(long deadlineMs) {
        this.readDeadlineMs = deadlineMs;
    }

    /** Sets what is asked while a read waits; null for nothing. */
    public void setReadAbortCheck(ReadAbortCheck guard) {
        this.readAbortCheck = guard;
    }

    /** Sets the number of bytes after which reads fail with {@link MessageConstraintException}. */
    public void setReadableBytes(long bytes) {
        this.readableBytes = bytes;
    }

    /** Forgets that anything was written; called before a request on a reused connection. */
    public void resetOutputStarted() {
        outputStarted = false;
    }

    /** Returns whether a byte may have been handed to the kernel since the last reset. */
    public boolean isOutputStarted() {
        return outputStarted;
    }

    /** Returns whether a write has been blocked since before the given time on the monotonic clock. */
    public boolean isWriteBlockedSince(long monotonicMs) {
        return writeStartedMs < monotonicMs;
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new BoundedInput(super.getInputStream());
    }

    @Override
    public OutputStream getOutputStream() throws IOException {
        return new TrackedOutput(super.getOutputStream());
    }

    private final class BoundedInput extends FilterInputStream {
        BoundedInput(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            byte[] single = new byte[1];
            return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            if (readableBytes <= 0) {
                throw new MessageConstraintException("more bytes than allowed");
            }
            int bounded = (int) Math.min(length, readableBytes);
            int count = readBeforeDeadline(buffer, offset, bounded);
            if (count > 0 && readableBytes != UNBOUNDED) {
                readableBytes -= count;
            }
            return count;
        }

        /**
         * Reads in intervals between which the guard is asked. The interval ends inside this stream, where nothing was
         * consumed yet: a timeout seen by the parser above could lose the part of a message that it has read.
         */
        private int readBeforeDeadline(byte[] buffer, int offset, int length) throws IOException {
            ReadAbortCheck currentGuard = readAbortCheck;
            if (currentGuard == null && readDeadlineMs == UNBOUNDED) {
                return in.read(buffer, offset, length);
            }
            int configuredMs = getSoTimeout();
            long boundMs = configuredMs == 0 ? UNBOUNDED : timeSource.monotonicMs() + configuredMs;
            long intervalMs = currentGuard == null ? Integer.MAX_VALUE : ABORT_CHECK_INTERVAL_MS;
            try {
                while (true) {
                    long remainingMs = Math.min(boundMs, readDeadlineMs) - timeSource.monotonicMs();
                    if (remainingMs <= 0) {
                        throw new SocketTimeoutException("deadline exceeded");
                    }
                    setSoTimeout((int) Math.min(remainingMs, intervalMs));
                    try {
                        return in.read(buffer, offset, length);
                    } catch (SocketTimeoutException e) {
                        if (currentGuard != null) {
                            currentGuard.check();
                        }
                    }
                }
            } finally {
                if (!isClosed()) {
                    setSoTimeout(configuredMs);
                }
            }
        }
    }

    private final class TrackedOutput extends FilterOutputStream {
        TrackedOutput(OutputStream out) {
            super(out);
        }

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] buffer, int offset, int length) throws IOException {
            outputStarted = true;
            writeStartedMs = timeSource.monotonicMs();
            try {
                out.write(buffer, offset, length);
            } finally {
                writeStartedMs = UNBOUNDED;
            }
        }
    }
}
