package org.cranberrybend.entry.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.ListenState;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * Finds out whether an upstream whose connection ended has crashed. Confined to the event loop.
 *
 * <p>A connection also ends when the network resets it or the upstream closes it, so the upstream is connected to once
 * more: after a crash, its host refuses. A process that ends may close its connections before it stops listening, so an
 * upstream that still listens is tried a second time. An upstream that leaves as planned is not checked. Neither silence
 * nor an unreachable host counts as a crash, because a lost host or a partition says nothing about the requests.
 */
public final class CrashDetector {
    private static final int PROBE_TIMEOUT_MS = 600;
    /** Time in which an ending process stops listening. */
    private static final long SECOND_PROBE_DELAY_MS = 200;

    /** Receives crashes. */
    public interface Listener {
        /**
         * An upstream has crashed.
         *
         * @param parts prompt parts of the requests that this process lost with it
         */
        void onCrash(Upstream upstream, long crashedAtMs, Collection<PartFingerprint> parts);
    }

    private final ScheduledExecutorService loop;
    private final HttpConnector connector;
    private final TimeSource timeSource;
    private final Listener listener;
    /** Prompt parts lost with the upstreams that are being checked. */
    private final Map<Upstream, Set<PartFingerprint>> lostParts = new HashMap<>();

    /** Creates a detector. */
    public CrashDetector(
            ScheduledExecutorService loop, HttpConnector connector, TimeSource timeSource, Listener listener) {
        this.loop = loop;
        this.connector = connector;
        this.timeSource = timeSource;
        this.listener = listener;
    }

    /** Records that the connection of a request ended before its response was complete. */
    public void onConnectionLost(Upstream upstream, Collection<PartFingerprint> parts) {
        if (parts.isEmpty() || !upstream.isListedReady()) {
            return;
        }
        Set<PartFingerprint> pending = lostParts.get(upstream);
        if (pending != null) {
            pending.addAll(parts);
            return;
        }
        lostParts.put(upstream, new LinkedHashSet<>(parts));
        long lostAtMs = timeSource.monotonicMs();
        probeTwice(upstream).thenAccept(state -> onProbed(upstream, lostAtMs, state));
    }

    /** Finds out whether an upstream listens and goes on listening. */
    public CompletableFuture<ListenState> probeTwice(Upstream upstream) {
        return probe(upstream)
                .thenCompose(state -> state == ListenState.LISTENING
                        ? afterDelay().thenCompose(done -> probe(upstream))
                        : CompletableFuture.completedFuture(state));
    }

    private CompletableFuture<ListenState> probe(Upstream upstream) {
        return connector.probe(upstream.entry().address(), PROBE_TIMEOUT_MS);
    }

    private CompletableFuture<Void> afterDelay() {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        loop.schedule(() -> elapsed.complete(null), SECOND_PROBE_DELAY_MS, TimeUnit.MILLISECONDS);
        return elapsed;
    }

    private void onProbed(Upstream upstream, long lostAtMs, ListenState state) {
        Set<PartFingerprint> parts = lostParts.remove(upstream);
        if (state == ListenState.REFUSED && upstream.isListedReady()) {
            listener.onCrash(upstream, lostAtMs, parts);
        }
    }
}
