package org.cranberrybend.entry.log;

import com.google.common.annotations.VisibleForTesting;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrybend.core.error.Severity;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.json.Json;

/**
 * Event log of the process: writes one JSON line for each event to an output stream.
 *
 * <p>Recording never blocks: lines wait in a bounded queue that one thread drains. Lines beyond the capacity of the
 * queue or the rate limit are dropped and counted. Subjects and fields may be text of a caller, of an upstream or of the
 * operator, so the text of a line is truncated, and the queue is bounded by its bytes as well. Successful requests are
 * sampled by a hash of their identifier, the same on every instance, to keep room under load for the lines of failed and
 * refused requests.
 */
public final class DecisionLog {
    private static final int QUEUE_CAPACITY = 4096;
    private static final int MAX_LINES_PER_SECOND = 400;
    /** One in this many successful requests is logged. */
    private static final int SAMPLE_DIVISOR = 16;

    private static final long FLUSH_INTERVAL_MS = 250;
    private static final int MAX_SUBJECT_LENGTH = 256;
    /** Room for the first causes of an unreadable configuration, whose message lists a fault of each route. */
    private static final int MAX_FIELD_LENGTH = 1024;
    /** Heap of the lines that wait while the output is blocked. */
    private static final long MAX_QUEUED_BYTES = 2 * 1024 * 1024;

    private final String instance;
    private final long incarnation;
    private final TimeSource timeSource;
    private final OutputStream output;
    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private long sequence;
    private long secondStartMs;
    private int linesInSecond;
    private Thread writer;

    /** Creates the log of one incarnation; {@link #start} starts to write. */
    public DecisionLog(String instance, long incarnation, TimeSource timeSource, OutputStream output) {
        this.instance = instance;
        this.incarnation = incarnation;
        this.timeSource = timeSource;
        this.output = output;
    }

    /** Starts the writing thread. */
    public void start() {
        writer = new Thread(this::writeLines, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    /** Returns whether the events of a request are logged if it succeeds. */
    public static boolean isSampled(String requestId) {
        return requestId.hashCode() % SAMPLE_DIVISOR == 0;
    }

    /** Records an event about a subject; fields are alternating names and values. Called on the event loop only. */
    public void record(EventCode code, String subject, Object... fields) {
        long nowMs = timeSource.monotonicMs();
        if (nowMs - secondStartMs >= 1_000) {
            secondStartMs = nowMs;
            linesInSecond = 0;
        }
        int limit = code.severity() == Severity.INFO ? MAX_LINES_PER_SECOND / 2 : MAX_LINES_PER_SECOND;
        sequence++;
        if (linesInSecond < limit && offer(line(code, subject, fields))) {
            linesInSecond++;
        } else {
            dropped.incrementAndGet();
        }
    }

    private boolean offer(byte[] line) {
        if (queuedBytes.get() + line.length > MAX_QUEUED_BYTES) {
            return false;
        }
        // Added first: the writing thread may take the line before offer() returns.
        queuedBytes.addAndGet(line.length);
        boolean queued = queue.offer(line);
        if (!queued) {
            queuedBytes.addAndGet(-line.length);
        }
        return queued;
    }

    private byte[] line(EventCode code, String subject, Object... fields) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("event", code.number());
        line.put("name", code.name());
        line.put("severity", code.severity().name());
        line.put("wall_ms", timeSource.wallMs());
        line.put("instance", instance);
        line.put("incarnation", incarnation);
        line.put("sequence", sequence);
        line.put("subject", truncated(subject, MAX_SUBJECT_LENGTH));
        Map<String, Object> details = new LinkedHashMap<>();
        for (int i = 0; i + 1 < fields.length; i += 2) {
            Object value = fields[i + 1];
            details.put(
                    (String) fields[i], value instanceof String ? truncated((String) value, MAX_FIELD_LENGTH) : value);
        }
        line.put("fields", details);
        return Json.write(line);
    }

    private static String truncated(String text, int maxLength) {
        return text == null || text.length() <= maxLength ? text : text.substring(0, maxLength);
    }

    /** Returns the number of lines that were dropped. */
    public long droppedLines() {
        return dropped.get();
    }

    private void writeLines() {
        long reportedDrops = 0;
        try {
            while (true) {
                List<byte[]> lines = new ArrayList<>();
                lines.add(queue.take());
                // Lines are written in batches: each wake-up and each system call costs CPU time, which is billed.
                TimeUnit.MILLISECONDS.sleep(FLUSH_INTERVAL_MS);
                queue.drainTo(lines);
                // Until they are written, the lines taken from the queue still occupy the heap.
                long takenBytes = lines.stream().mapToLong(line -> line.length).sum();
                long drops = dropped.get();
                if (drops > reportedDrops) {
                    lines.add(("{\"dropped_lines\":" + drops + "}").getBytes(StandardCharsets.UTF_8));
                    reportedDrops = drops;
                }
                write(lines);
                queuedBytes.addAndGet(-takenBytes);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            dropped.incrementAndGet();
        }
    }

    @VisibleForTesting
    void write(List<byte[]> lines) throws IOException {
        int length = 0;
        for (byte[] line : lines) {
            length += line.length + 1;
        }
        byte[] text = new byte[length];
        int position = 0;
        for (byte[] line : lines) {
            System.arraycopy(line, 0, text, position, line.length);
            position += line.length;
            text[position++] = '\n';
        }
        output.write(text);
        output.flush();
    }

    /** Waits until the queue is empty, for at most the given time. */
    public void stop(long limitMs) {
        try {
            long endMs = timeSource.monotonicMs() + limitMs;
            while (!queue.isEmpty() && timeSource.monotonicMs() < endMs) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
