package org.cranberrybend.entry.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.ListenState;
import org.cranberrybend.entry.upstream.Upstream;

/**
 * Finds out whether an upstream whose connection ended has crashed. Confined to the event loop.
 *
 * <p>A connection also ends when the network resets it or the upstream closes it, so the upstream is connected to once
 * more: after a crash, its host refuses. An upstream that leaves as planned is not checked. Neither silence nor an
 * unreachable host counts as a crash, because a lost host or a partition says nothing about the requests.
 */
public final class CrashDetector {
    private static final int PROBE_TIMEOUT_MS = 600;

    /** Receives crashes. */
    public interface Listener {
        /**
         * An upstream has crashed.
         *
         * @param parts prompt parts of the requests that this process lost with it
         */
        void onCrash(Upstream upstream, long crashedAtMs, Collection<PartFingerprint> parts);
    }

    private final HttpConnector connector;
    private final TimeSource timeSource;
    private final Listener listener;
    /** Prompt parts lost with the upstreams that are being checked. */
    private final Map<Upstream, Set<PartFingerprint>> lostParts = new HashMap<>();

    /** Creates a detector. */
    public CrashDetector(HttpConnector connector, TimeSource timeSource, Listener listener) {
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
        connector
                .probe(upstream.entry().address(), PROBE_TIMEOUT_MS)
                .thenAccept(state -> onProbed(upstream, lostAtMs, state));
    }

    private void onProbed(Upstream upstream, long lostAtMs, ListenState state) {
        Set<PartFingerprint> parts = lostParts.remove(upstream);
        if (state == ListenState.REFUSED && upstream.isListedReady()) {
            listener.onCrash(upstream, lostAtMs, parts);
        }
    }
}
