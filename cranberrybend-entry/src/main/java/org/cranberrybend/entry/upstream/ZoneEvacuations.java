package org.cranberrybend.entry.upstream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.entry.log.DecisionLog;

/**
 * The availability zones whose upstreams receive nothing because the operator evacuates them. Confined to the event loop.
 *
 * <p>The state comes from the store, from the zone leader and from peers, whose knowledge differs in age. It is therefore
 * kept with the revision of the store up to which it is complete, and only a later state replaces it; this holds for the
 * end of an evacuation as for its start.
 */
public final class ZoneEvacuations {
    /** Receives the zones whose evacuation has started or ended. */
    public interface Listener {
        /** The upstreams of a zone receive nothing from now on. */
        void onEvacuated(String zone);

        /**
         * The upstreams of a zone receive requests again.
         *
         * @param revision revision of the store at which the evacuation had ended; it may have ended earlier
         */
        void onReturned(String zone, long revision);
    }

    /**
     * The evacuated zones as of one revision of the store.
     *
     * @param zones evacuated zones
     * @param revision revision up to which the zones are complete; negative if nothing is known
     */
    public record State(Set<String> zones, long revision) {
        /** The state of an instance that has not read any. */
        public static final State UNKNOWN = new State(Set.of(), -1);

        public State {
            zones = Set.copyOf(zones);
        }
    }

    private final DecisionLog log;
    private final List<Listener> listeners = new ArrayList<>();
    private State state = State.UNKNOWN;

    /** Creates the state of an instance that has not read any. */
    public ZoneEvacuations(DecisionLog log) {
        this.log = log;
    }

    /** Adds a listener of later changes. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Returns whether the upstreams of a zone receive nothing. */
    public boolean isEvacuated(String zone) {
        return state.zones().contains(zone);
    }

    /** Returns the evacuated zones with the revision up to which they are complete. */
    public State state() {
        return state;
    }

    /** Replaces the state if the given one is later. */
    public void offer(String source, State next) {
        if (next.revision() > state.revision()) {
            replace(source, next);
        }
    }

    /**
     * Applies a change that the store has sent, unless a later state is known. Several changes may have one revision, so
     * the state is complete up to it only after {@link #recordProgress}.
     */
    public void apply(String source, String zone, boolean evacuated, long revision) {
        if (revision <= state.revision() || state.zones().contains(zone) == evacuated) {
            return;
        }
        Set<String> zones = new HashSet<>(state.zones());
        if (evacuated) {
            zones.add(zone);
        } else {
            zones.remove(zone);
        }
        replace(source, new State(zones, state.revision()), revision);
    }

    /** Records that all changes up to a revision were applied. */
    public void recordProgress(long revision) {
        if (revision > state.revision()) {
            state = new State(state.zones(), revision);
        }
    }

    private void replace(String source, State next) {
        replace(source, next, next.revision());
    }

    private void replace(String source, State next, long revision) {
        Set<String> before = state.zones();
        state = next;
        for (String zone : next.zones()) {
            if (!before.contains(zone)) {
                log.record(EventCode.ZONE_EVACUATED, zone, "source", source, "revision", revision);
                listeners.forEach(listener -> listener.onEvacuated(zone));
            }
        }
        for (String zone : before) {
            if (!next.zones().contains(zone)) {
                log.record(EventCode.ZONE_RETURNED, zone, "source", source, "revision", revision);
                listeners.forEach(listener -> listener.onReturned(zone, revision));
            }
        }
    }
}
