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
 * Socket that limits a sequence of reads by a deadline and a number of bytes, and tracks whether output was written.
 *
 * <p>A socket timeout limits a single read only: a remote side that sends one byte at a time never exceeds it.
 */
public final class DeadlineSocket extends Socket {
    /** Deadline or byte limit that never applies. */
    public static final long UNBOUNDED = Long.MAX_VALUE;

    // Bounds the delay in detecting a disconnected caller or revoked key while the remote side sends nothing.
    private static final long ABORT_CHECK_INTERVAL_MS = 100;

    private final TimeSource timeSource;
    private volatile ReadAbortCheck readAbortCheck;
    private volatile long readDeadlineMs = UNBOUNDED;
    private volatile long remainingReadBytes = UNBOUNDED;
    private volatile boolean outputStarted;
    private volatile long writeStartedMs = UNBOUNDED;

    /** Creates an unconnected socket; {@code timeSource} is the clock of its deadlines. */
    public DeadlineSocket(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Sets the deadline on the monotonic clock after which reads fail with {@link SocketTimeoutException}. */
    public void setReadDeadlineMs(long deadlineMs) {
        this.readDeadlineMs = deadlineMs;
    }

    /** Sets the check that is called periodically while a read waits; null for none. */
    public void setReadAbortCheck(ReadAbortCheck check) {
        this.readAbortCheck = check;
    }

    /** Sets the number of bytes after which reads fail with {@link MessageConstraintException}. */
    public void setReadLimitBytes(long bytes) {
        this.remainingReadBytes = bytes;
    }

    /** Resets {@link #isOutputStarted()}; called before each request on a connection. */
    public void resetOutputStarted() {
        outputStarted = false;
    }

    /** Returns whether a byte may have been passed to the operating system since the last reset. */
    public boolean isOutputStarted() {
        return outputStarted;
    }

    /** Returns whether a write has been blocked since before the given time on the monotonic clock. */
    public boolean isWriteBlockedSince(long monotonicMs) {
        return writeStartedMs < monotonicMs;
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new BoundedInputStream(super.getInputStream());
    }

    @Override
    public OutputStream getOutputStream() throws IOException {
        return new TrackedOutputStream(super.getOutputStream());
    }

    private final class BoundedInputStream extends FilterInputStream {
        BoundedInputStream(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            byte[] single = new byte[1];
            return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            if (remainingReadBytes <= 0) {
                throw new MessageConstraintException("read limit exceeded");
            }
            int bounded = (int) Math.min(length, remainingReadBytes);
            int count = readBeforeDeadline(buffer, offset, bounded);
            if (count > 0 && remainingReadBytes != UNBOUNDED) {
                remainingReadBytes -= count;
            }
            return count;
        }

        /**
         * Reads with short timeouts and calls the abort check after each. These timeouts are handled here, where no
         * input has been consumed: if one reached the HTTP parser, it could lose the part of a message
         * that it has parsed.
         */
        private int readBeforeDeadline(byte[] buffer, int offset, int length) throws IOException {
            ReadAbortCheck abortCheck = readAbortCheck;
            if (abortCheck == null && readDeadlineMs == UNBOUNDED) {
                return in.read(buffer, offset, length);
            }
            int configuredTimeoutMs = getSoTimeout();
            long timeoutAtMs = configuredTimeoutMs == 0 ? UNBOUNDED : timeSource.monotonicMs() + configuredTimeoutMs;
            long intervalMs = abortCheck == null ? Integer.MAX_VALUE : ABORT_CHECK_INTERVAL_MS;
            try {
                while (true) {
                    long remainingMs = Math.min(timeoutAtMs, readDeadlineMs) - timeSource.monotonicMs();
                    if (remainingMs <= 0) {
                        throw new SocketTimeoutException("deadline exceeded");
                    }
                    setSoTimeout((int) Math.min(remainingMs, intervalMs));
                    try {
                        return in.read(buffer, offset, length);
                    } catch (SocketTimeoutException e) {
                        if (abortCheck != null) {
                            abortCheck.check();
                        }
                    }
                }
            } finally {
                if (!isClosed()) {
                    setSoTimeout(configuredTimeoutMs);
                }
            }
        }
    }

    private final class TrackedOutputStream extends FilterOutputStream {
        TrackedOutputStream(OutputStream out) {
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
