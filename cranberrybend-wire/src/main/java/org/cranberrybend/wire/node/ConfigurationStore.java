package org.cranberrybend.wire.node;

import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.OfferResult;
import org.cranberrybend.core.configuration.RevocationSet;

/**
 * The configuration accepted by this process. What is accepted here spreads to the peers.
 *
 * <p>Reads are lock-free; writes hold the configuration lock, the first in lock order.
 */
public interface ConfigurationStore {
    /** Returns the accepted configuration; its revision is 0 until one was received. */
    ConfigurationState state();

    /** Returns the typed view of the accepted configuration. */
    ConfigurationView view();

    /** Returns the keys revoked outside of the configuration. */
    RevocationSet revocations();

    /** Offers the change set of one revision, read from the key-value service or received from a peer. */
    OfferResult offer(ChangeSet changeSet);

    /** Offers the whole configuration of one revision. */
    OfferResult offerSnapshot(ConfigurationState snapshot);

    /** Adds keys to the revocation set. */
    void revoke(RevocationSet revocations);

    /** Records that the key-value service was read just now and has no newer revision. */
    void recordStoreRead();

    /** Returns the time since any member of the fleet known to this process read the service, in milliseconds. */
    long storeConfirmedAgeMs();

    /**
     * Returns whether this process was paused and has not yet compared its configuration with a peer. Its configuration
     * may then be older than a revocation that the rest of the fleet obeys.
     */
    default boolean isCatchingUp() {
        return false;
    }

    /** Adds a listener that is called on a worker thread, without locks, after each change. */
    void addListener(Runnable listener);
}
