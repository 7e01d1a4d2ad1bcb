package org.cranberrybend.core.configuration;

/**
 * The configuration accepted by one process, which never reverts.
 *
 * <p>Sources are the key-value service and peers, each of which may lag or come back with older data. Only the next
 * revision of the same history, or a snapshot with a higher revision, replaces the accepted one. A snapshot of a
 * different history with a higher revision cannot be told from a legitimate one, because the history before it is not
 * kept; the controllers prevent it by refusing to write to a service that is behind.
 *
 * <p>Not thread-safe; the owning service holds the configuration lock.
 */
public final class ConfigurationReplica {
    private ConfigurationState accepted = ConfigurationState.EMPTY;

    /** Returns the accepted configuration. */
    public ConfigurationState accepted() {
        return accepted;
    }

    /** Offers the change set of one revision. */
    public OfferResult offer(ChangeSet changeSet) {
        if (changeSet.revision() <= accepted.revision()) {
            return compareSettled(changeSet.revision(), changeSet.chainDigest());
        }
        if (changeSet.revision() > accepted.revision() + 1) {
            return OfferResult.GAP;
        }
        if (!changeSet.previousDigest().equals(accepted.chainDigest())) {
            return OfferResult.DIVERGED;
        }
        accepted = accepted.apply(changeSet);
        return OfferResult.ACCEPTED;
    }

    /** Offers the whole configuration of one revision. */
    public OfferResult offerSnapshot(ConfigurationState snapshot) {
        if (snapshot.revision() <= accepted.revision()) {
            return compareSettled(snapshot.revision(), snapshot.chainDigest());
        }
        accepted = snapshot;
        return OfferResult.ACCEPTED;
    }

    private OfferResult compareSettled(long revision, String chainDigest) {
        if (revision < accepted.revision()) {
            return OfferResult.OLDER;
        }
        return chainDigest.equals(accepted.chainDigest()) ? OfferResult.DUPLICATE : OfferResult.DIVERGED;
    }
}
