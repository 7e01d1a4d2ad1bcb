package org.cranberrybend.core.configuration;

/**
 * Replica of the configuration in one process. Its revision never decreases.
 *
 * <p>Configurations come from the key-value store and from peers, which may lag or be rolled back to older data. The
 * accepted configuration is replaced only by the next revision of the same history or by a snapshot with a higher
 * revision. A snapshot with a higher revision but a different history cannot be distinguished from a valid one, because
 * earlier history is not kept. Controllers prevent this case: they do not write to a store that is behind their own
 * revision.
 *
 * <p>Not thread-safe; the owning service holds the configuration lock.
 */
public final class ConfigurationReplica {
    private ConfigurationState accepted = ConfigurationState.EMPTY;

    /** Returns the accepted configuration. */
    public ConfigurationState accepted() {
        return accepted;
    }

    /** Offers the change set of one revision, and applies it if it directly follows the accepted revision. */
    public OfferResult offer(ChangeSet changeSet) {
        if (changeSet.revision() <= accepted.revision()) {
            return compareWithAccepted(changeSet.revision(), changeSet.chainDigest());
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

    /**
     * Offers the whole configuration of one revision, and accepts it if its revision is higher than the accepted one.
     */
    public OfferResult offerSnapshot(ConfigurationState snapshot) {
        if (snapshot.revision() <= accepted.revision()) {
            return compareWithAccepted(snapshot.revision(), snapshot.chainDigest());
        }
        accepted = snapshot;
        return OfferResult.ACCEPTED;
    }

    private OfferResult compareWithAccepted(long revision, String chainDigest) {
        if (revision < accepted.revision()) {
            return OfferResult.OLDER;
        }
        return chainDigest.equals(accepted.chainDigest()) ? OfferResult.DUPLICATE : OfferResult.DIVERGED;
    }
}
