package org.cranberrybend.entry.store;

import java.util.OptionalLong;
import org.cranberrybend.entry.port.StoreEpoch;
import org.cranberrybend.entry.port.StoreException;
import org.cranberrybend.entry.port.StoreException.Kind;
import org.cranberrybend.entry.port.StoreRevision;
import org.cranberrybend.entry.port.StoreWrite;

/**
 * Decides what calls and responses of the store are worth when it may have been restored from an older copy. The adapter
 * of a platform applies these checks to each call; a check that fails throws. Confined to the event loop.
 *
 * <p>The hard case is the first call after a restoration: it is sent with a revision or a lease of the lost time, which the
 * store may have given out again meanwhile, and only its response shows the new epoch.
 */
public final class EpochChecks {
    private final StoreEpoch epoch = new StoreEpoch();

    /** Returns the latest known epoch. */
    public StoreEpoch epoch() {
        return epoch;
    }

    /**
     * Records the epoch of a response and returns it. A response that states none, as that of a proxy, is taken to be of the
     * current epoch; one of an earlier epoch says nothing any more.
     */
    public long checkResponse(OptionalLong stated) throws StoreException {
        long responseEpoch = stated.orElse(Math.max(0, epoch.current()));
        if (!epoch.observe(responseEpoch)) {
            throw new StoreException(Kind.UNKNOWN, "response of an earlier epoch of the store");
        }
        return responseEpoch;
    }

    /** Checks that a watch starts in the current epoch. */
    public void checkWatch(long afterRevision) throws StoreException {
        if (!epoch.contains(afterRevision)) {
            throw restored(Kind.HISTORY_LOST);
        }
    }

    /** Checks that the response to a watch is of the epoch in which the watch starts. */
    public void checkWatched(long afterRevision, long responseEpoch) throws StoreException {
        if (responseEpoch != StoreRevision.epochOf(afterRevision)) {
            throw restored(Kind.HISTORY_LOST);
        }
    }

    /** Checks that two pages of a snapshot are of the same epoch. */
    public void checkPages(long firstRevision, long revision) throws StoreException {
        if (!StoreRevision.isSameEpoch(firstRevision, revision)) {
            throw restored(Kind.UNKNOWN);
        }
    }

    /** Checks that the conditions and leases of a write are of the current epoch. */
    public void checkWrite(StoreWrite write) throws StoreException {
        if (write.expectedRevisions().values().stream().anyMatch(each -> each != 0 && !epoch.contains(each))) {
            throw restored(Kind.CONDITION_FAILED);
        }
        if (write.puts().stream().anyMatch(each -> each.leaseId() != 0 && !epoch.contains(each.leaseId()))) {
            throw restored(Kind.NOT_FOUND);
        }
    }

    /** Checks that the conditions of a write were compared in the epoch in which it was sent. */
    public void checkWritten(StoreWrite write, long sentInEpoch, long responseEpoch) throws StoreException {
        boolean conditional =
                !write.expectedRevisions().isEmpty() || write.puts().stream().anyMatch(each -> each.leaseId() != 0);
        if (conditional && sentInEpoch != StoreEpoch.UNKNOWN && sentInEpoch != responseEpoch) {
            throw restored(Kind.UNKNOWN);
        }
    }

    /** Checks that a lease is of the current epoch; in a later one, its number may be that of another lease. */
    public void checkLease(long leaseId) throws StoreException {
        if (!epoch.contains(leaseId)) {
            throw restored(Kind.NOT_FOUND);
        }
    }

    private static StoreException restored(Kind kind) {
        return new StoreException(kind, "the store was restored from an older copy");
    }
}
