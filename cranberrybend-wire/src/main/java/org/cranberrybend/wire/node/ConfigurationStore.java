package org.cranberrybend.wire.node;

import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.OfferResult;
import org.cranberrybend.core.configuration.RevocationSet;

/**
 * The configuration accepted by this process. An accepted configuration is replicated to the peers.
 *
 * <p>Reads are lock-free; offers hold the configuration lock, the first in the lock order.
 */
public interface ConfigurationStore {
    /** Returns the accepted configuration; its revision is 0 until one is received. */
    ConfigurationState state();

    /** Returns the typed view of the accepted configuration. */
    ConfigurationView view();

    /** Returns the API keys that are revoked independently of the accepted configuration. */
    RevocationSet revocations();

    /** Offers the change set of one revision, read from or written to the key-value store. */
    OfferResult offer(ChangeSet changeSet);

    /** Offers the complete configuration of one revision, read from the key-value store. */
    OfferResult offerSnapshot(ConfigurationState snapshot);

    /** Adds API keys to the revocation set. */
    void revoke(RevocationSet revocations);

    /** Records that a read of the key-value store just now found no newer revision. */
    void recordStoreRead();

    /**
     * Returns the time since the latest known read of the key-value store by any member of the fleet, in milliseconds;
     * {@link Long#MAX_VALUE} if none is known.
     */
    long storeConfirmedAgeMs();

    /**
     * Returns whether this process was paused and has not yet compared its configuration with a peer. Its configuration
     * may then lack a revocation that the rest of the fleet already enforces.
     */
    default boolean isCatchingUp() {
        return false;
    }

    /** Adds a listener that is called after changes, on a worker thread that holds no locks. */
    void addListener(Runnable listener);
}
