package org.cranberrybend.controller.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageLedger;
import org.cranberrybend.core.usage.UsageTotals;
import org.cranberrybend.core.usage.UsageWindow;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.UsageAck;
import org.cranberrybend.wire.generated.UsageCounter;
import org.cranberrybend.wire.generated.UsageFlush;
import org.cranberrybend.wire.generated.UsageWindowCounters;
import org.cranberrybend.wire.transport.PeerHandler;

/**
 * Usage received from the routers of the zone, until it is written to the key-value service.
 *
 * <p>Thread-safe. Its lock is the usage counters' lock; nothing is called while it is held.
 */
public final class UsageCollector implements PeerHandler {
    private final Object lock = new Object();
    private final TreeMap<UsageWindow, Collected> windows = new TreeMap<>();

    /** What is known of a window, and the last version that was written. */
    private static final class Collected {
        private UsageLedger ledger = UsageLedger.EMPTY;
        private long version;
        private long writtenVersion;
    }

    /**
     * A window with usage that has not been written.
     *
     * @param window window
     * @param ledger everything known of it
     * @param version version to give back in {@link #written}
     */
    record Unwritten(UsageWindow window, UsageLedger ledger, long version) {}

    @Override
    public Optional<Envelope.Builder> handle(Envelope message) {
        String source = message.getSender() + "@" + message.getIncarnation();
        UsageFlush flush = message.getUsageFlush();
        UsageAck.Builder ack = UsageAck.newBuilder();
        for (UsageWindowCounters each : flush.getWindowsList()) {
            if (each.getWindowStartMs() >= 0 && each.getWindowStartMs() % UsageWindow.LENGTH_MS == 0) {
                merge(new UsageWindow(each.getWindowStartMs()), UsageLedger.EMPTY.merge(source, counters(each)));
                ack.addWindowStartMs(each.getWindowStartMs());
            }
        }
        return Optional.of(Envelope.newBuilder().setUsageAck(ack));
    }

    private static Map<UsageKey, UsageTotals> counters(UsageWindowCounters message) {
        Map<UsageKey, UsageTotals> counters = new HashMap<>();
        for (UsageCounter each : message.getCountersList()) {
            counters.merge(
                    new UsageKey(each.getClientAccount(), each.getClassName(), each.getService()),
                    new UsageTotals(
                            Math.max(0, each.getRequests()),
                            Math.max(0, each.getPromptTokens()),
                            Math.max(0, each.getOutputTokens())),
                    UsageTotals::plus);
        }
        return counters;
    }

    /** Merges usage of a window. */
    void merge(UsageWindow window, UsageLedger ledger) {
        synchronized (lock) {
            Collected collected = windows.computeIfAbsent(window, ignored -> new Collected());
            UsageLedger merged = collected.ledger.merge(ledger);
            if (!merged.equals(collected.ledger)) {
                collected.ledger = merged;
                collected.version++;
            }
        }
    }

    /** Returns the windows with usage that has not been written, oldest first. */
    List<Unwritten> unwritten() {
        synchronized (lock) {
            List<Unwritten> unwritten = new ArrayList<>();
            windows.forEach((window, collected) -> {
                if (collected.version > collected.writtenVersion) {
                    unwritten.add(new Unwritten(window, collected.ledger, collected.version));
                }
            });
            return unwritten;
        }
    }

    /** Takes note that everything up to a version was written. */
    void written(UsageWindow window, long version) {
        synchronized (lock) {
            Collected collected = windows.get(window);
            if (collected != null) {
                collected.writtenVersion = Math.max(collected.writtenVersion, version);
            }
        }
    }

    /** Forgets written windows that start before the given one and returns them. */
    List<UsageWindow> forgetBefore(UsageWindow oldest) {
        synchronized (lock) {
            List<UsageWindow> forgotten = new ArrayList<>();
            windows.headMap(oldest).entrySet().removeIf(each -> {
                boolean written = each.getValue().version == each.getValue().writtenVersion;
                if (written) {
                    forgotten.add(each.getKey());
                }
                return written;
            });
            return forgotten;
        }
    }
}
