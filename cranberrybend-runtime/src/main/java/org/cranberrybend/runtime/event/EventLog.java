package org.cranberrybend.runtime.event;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.error.Severity;
import org.cranberrybend.core.event.Event;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.event.HybridClock;
import org.cranberrybend.core.event.ProcessIdentity;

/**
 * Event log of a process. Each event is logged as one JSON line and kept in a ring buffer, from which timelines are
 * read.
 *
 * <p>Lock order: the clock's lock is taken while the lock of the ring buffer is held, so that timestamps increase with
 * sequence numbers; no other lock is taken under it.
 */
public final class EventLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int CAPACITY = 8192;

    private final ProcessIdentity process;
    private final HybridClock clock;
    private final Object ringLock = new Object();
    private final Deque<Event> ring = new ArrayDeque<>(CAPACITY);
    private long lastSequence;

    /** Creates the log of the given process. */
    public EventLog(ProcessIdentity process, HybridClock clock) {
        this.process = process;
        this.clock = clock;
    }

    /** Returns the identity written with each event. */
    public ProcessIdentity process() {
        return process;
    }

    /** Returns the clock for the timestamps of events and messages. */
    public HybridClock clock() {
        return clock;
    }

    /** Records an event. The subject identifies what it is about; field values are strings, numbers or booleans. */
    public void record(EventCode code, String subject, Map<String, Object> fields) {
        Event event = append(code, subject, fields);
        String line = CanonicalJson.write(event.toJsonFields());
        if (code.severity() == Severity.ERROR) {
            LOGGER.atSevere().log("%s", line);
        } else if (code.severity() == Severity.WARNING) {
            LOGGER.atWarning().log("%s", line);
        } else {
            LOGGER.atInfo().log("%s", line);
        }
    }

    private Event append(EventCode code, String subject, Map<String, Object> fields) {
        synchronized (ringLock) {
            Event event = new Event(code, process, ++lastSequence, clock.tick(), subject, fields);
            if (ring.size() == CAPACITY) {
                ring.removeFirst();
            }
            ring.addLast(event);
            return event;
        }
    }

    /** Returns the retained events with a sequence number above the given one, oldest first. */
    public List<Event> eventsAfter(long sequence) {
        synchronized (ringLock) {
            List<Event> events = new ArrayList<>();
            for (Event event : ring) {
                if (event.sequence() > sequence) {
                    events.add(event);
                }
            }
            return events;
        }
    }
}
