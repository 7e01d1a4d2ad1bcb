package org.cranberrybend.entry.port;

import java.util.ArrayList;
import java.util.List;

/**
 * The latest epoch of the store that this process knows, from responses of the store or from other instances. Confined to
 * the event loop.
 *
 * <p>A later epoch means that the store was restored from an older copy. What was read or acquired in an earlier one no
 * longer holds: revisions to watch from, leases and the numbers of their grants, and that keys exist which this program
 * has written. Only the store's epoch shows this; the restored revisions may since have passed those known here.
 */
public final class StoreEpoch {
    /** Epoch before the first response. */
    public static final long UNKNOWN = -1;

    private final List<Runnable> listeners = new ArrayList<>();
    private long current = UNKNOWN;

    /** Adds a listener that is called after a later epoch has replaced a known one. */
    public void onRestored(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the latest known epoch; {@link #UNKNOWN} if there is none. */
    public long current() {
        return current;
    }

    /** Records an epoch of the store; returns whether it is the current one rather than an earlier one. */
    public boolean observe(long epoch) {
        if (epoch > current) {
            boolean restored = current != UNKNOWN;
            current = epoch;
            if (restored) {
                listeners.forEach(Runnable::run);
            }
        }
        return epoch == current;
    }

    /** Returns whether a revision or a lease is of the current epoch. */
    public boolean contains(long revision) {
        return StoreRevision.epochOf(revision) == current;
    }
}
