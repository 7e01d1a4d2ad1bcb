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
 * Collects usage from the routers of the zone until it is written to the key-value store.
 *
 * <p>Thread-safe. The lock has the place of the usage counter lock in the lock order; no other lock is taken while it
 * is held.
 */
public final class UsageCollector implements PeerHandler {
    private final Object lock = new Object();
    private final TreeMap<UsageWindow, CollectedWindow> windows = new TreeMap<>();

    /** Usage collected for a window, and the latest version that was written. */
    private static final class CollectedWindow {
        private UsageLedger ledger = UsageLedger.EMPTY;
        private long version;
        private long writtenVersion;
    }

    /**
     * A window with usage that has not been written.
     *
     * @param window window
     * @param ledger all usage collected for the window
     * @param version version of the ledger, to be passed to {@link #markWritten}
     */
    record PendingWrite(UsageWindow window, UsageLedger ledger, long version) {}

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

    /** Merges usage into a window. */
    void merge(UsageWindow window, UsageLedger ledger) {
        synchronized (lock) {
            CollectedWindow collected = windows.computeIfAbsent(window, ignored -> new CollectedWindow());
            UsageLedger merged = collected.ledger.merge(ledger);
            if (!merged.equals(collected.ledger)) {
                collected.ledger = merged;
                collected.version++;
            }
        }
    }

    /** Returns the windows with usage that has not been written, oldest first. */
    List<PendingWrite> pendingWrites() {
        synchronized (lock) {
            List<PendingWrite> pending = new ArrayList<>();
            windows.forEach((window, collected) -> {
                if (collected.version > collected.writtenVersion) {
                    pending.add(new PendingWrite(window, collected.ledger, collected.version));
                }
            });
            return pending;
        }
    }

    /** Records that the usage of a window was written up to a version. */
    void markWritten(UsageWindow window, long version) {
        synchronized (lock) {
            CollectedWindow collected = windows.get(window);
            if (collected != null) {
                collected.writtenVersion = Math.max(collected.writtenVersion, version);
            }
        }
    }

    /** Evicts the written windows before the given one and returns them. */
    List<UsageWindow> evictBefore(UsageWindow oldest) {
        synchronized (lock) {
            List<UsageWindow> evicted = new ArrayList<>();
            windows.headMap(oldest).entrySet().removeIf(each -> {
                boolean written = each.getValue().version == each.getValue().writtenVersion;
                if (written) {
                    evicted.add(each.getKey());
                }
                return written;
            });
            return evicted;
        }
    }
}
