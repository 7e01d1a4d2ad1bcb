package org.cranberrybend.entry.port;

/**
 * Revisions and leases of the store, as numbers that also grow when the store is restored from an older copy.
 *
 * <p>A restored store counts revisions and leases on from the copy, so it gives numbers out again that once stood for
 * something else. Its epoch, which rises with each restoration, takes the upper bits. Whatever compares two revisions
 * then orders them across restorations, too, and a fencing number taken from a revision never falls.
 */
public final class StoreRevision {
    /** Enough for leases that are numbered by the time of day in units of 10 microseconds. */
    private static final int NUMBER_BITS = 50;

    private static final int EPOCH_BITS = Long.SIZE - 1 - NUMBER_BITS;
    private static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;
    private static final long MAX_EPOCH = (1L << EPOCH_BITS) - 1;

    private StoreRevision() {}

    /** Returns the revision or lease with a number in an epoch; 0, which stands for none, is the same in all epochs. */
    public static long of(long epoch, long number) {
        if (epoch < 0 || epoch > MAX_EPOCH || number < 0 || number > MAX_NUMBER) {
            throw new IllegalArgumentException("epoch " + epoch + " or number " + number + " is out of range");
        }
        return number == 0 ? 0 : epoch << NUMBER_BITS | number;
    }

    /** Returns the epoch of a revision or lease; negative if the revision is, which stands for an unknown one. */
    public static long epochOf(long revision) {
        return revision >> NUMBER_BITS;
    }

    /** Returns the number that the store uses within the epoch. */
    public static long numberOf(long revision) {
        return revision & MAX_NUMBER;
    }

    /** Returns whether two revisions are of the same epoch, so that the changes between them are known to the store. */
    public static boolean isSameEpoch(long one, long other) {
        return epochOf(one) == epochOf(other);
    }
}
