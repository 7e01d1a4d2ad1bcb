package org.cranberrybend.controller.testing;

import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationReplica;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.configuration.OfferResult;
import org.cranberrybend.core.configuration.RevocationSet;
import org.cranberrybend.wire.node.ConfigurationStore;

/** Accepted configuration of one process without peers. */
public final class MemoryConfigurationStore implements ConfigurationStore {
    private final ConfigurationReplica replica = new ConfigurationReplica();
    private RevocationSet revocations = RevocationSet.EMPTY;

    @Override
    public ConfigurationState state() {
        return replica.accepted();
    }

    @Override
    public ConfigurationView view() {
        return new ConfigurationView(replica.accepted());
    }

    @Override
    public RevocationSet revocations() {
        return revocations;
    }

    @Override
    public OfferResult offer(ChangeSet changeSet) {
        return replica.offer(changeSet);
    }

    @Override
    public OfferResult offerSnapshot(ConfigurationState snapshot) {
        return replica.offerSnapshot(snapshot);
    }

    @Override
    public void revoke(RevocationSet added) {
        revocations = revocations.merge(added);
    }

    @Override
    public void recordStoreRead() {
        // The age of the last read is not tested here.
    }

    @Override
    public long storeConfirmedAgeMs() {
        return 0;
    }

    @Override
    public void addListener(Runnable listener) {
        // No test waits for changes.
    }
}
