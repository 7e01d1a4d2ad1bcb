package org.cranberrybend.experiment.capacity;

import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.controller.configuration.ConfigurationCodec;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.ConfigurationValidator;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.wire.generated.ConfigurationDelta;
import org.cranberrybend.wire.generated.ConfigurationSnapshot;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.node.WireConversions;

/** Heap, message sizes and CPU time of the configuration by number of client accounts and of changes. */
final class ConfigurationGroup implements CapacityGroup {
    private static final int[] ACCOUNTS = {1_000, 5_000, 13_000};
    private static final int[] CHANGES = {1, 10, 50};
    private static final int[] RECENT_CHANGE_SETS = {1, 16, 64};
    private static final int ACCOUNTS_FOR_MESSAGES = 1_000;

    private final Series stateMemory = new Series("heap of ConfigurationState", "accounts", "KiB");
    private final Series viewMemory = new Series("heap of ConfigurationView", "accounts", "KiB");
    private final Series stateTime = new Series("CPU to read a snapshot into ConfigurationState", "accounts", "us");
    private final Series viewTime = new Series("CPU to build ConfigurationView", "accounts", "us");
    private final Series snapshotBytes = new Series("ConfigurationSnapshot frame", "accounts", "bytes");
    private final Series applyTime = new Series("CPU to apply one change set of 1 account", "accounts", "us");
    private final Series writeTime = new Series("CPU to validate and encode one operator's change", "accounts", "us");
    private final Series shardBytes = new Series("largest config/shard value", "accounts", "bytes");
    private final Series deltaBytes = new Series("ConfigurationDelta frame", "accounts changed", "bytes");
    private final Series headBytes = new Series("config/head value", "change sets of 1 account", "bytes");

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public List<SlopeMeasurement> measure() {
        for (int accounts : ACCOUNTS) {
            measureSize(accounts);
        }
        ConfigurationState state = ConfigurationFixture.state(ACCOUNTS_FOR_MESSAGES);
        for (int changes : CHANGES) {
            String changeSet = CanonicalJson.write(ConfigurationFixture.change(state, changes));
            deltaBytes.add(
                    changes,
                    Frames.bytes(Envelope.newBuilder()
                            .setConfigurationDelta(
                                    ConfigurationDelta.newBuilder().addChangeSetsJson(changeSet))));
        }
        for (int changeSets : RECENT_CHANGE_SETS) {
            headBytes.add(changeSets, headBytes(state, changeSets));
        }
        return List.of(
                        stateMemory,
                        viewMemory,
                        stateTime,
                        viewTime,
                        applyTime,
                        writeTime,
                        snapshotBytes,
                        shardBytes,
                        deltaBytes,
                        headBytes)
                .stream()
                .map(Series::toMeasurement)
                .toList();
    }

    private void measureSize(int accounts) {
        ConfigurationSnapshot snapshot = WireConversions.toWire(ConfigurationFixture.state(accounts));
        snapshotBytes.add(accounts, Frames.bytes(Envelope.newBuilder().setConfigurationSnapshot(snapshot)));
        stateMemory.add(accounts, ResourceMeter.retainedKib(() -> WireConversions.fromWire(snapshot)));
        ConfigurationState state = WireConversions.fromWire(snapshot);
        viewMemory.add(accounts, ResourceMeter.retainedKib(() -> new ConfigurationView(state)));
        stateTime.add(accounts, ResourceMeter.medianCpuUs(() -> WireConversions.fromWire(snapshot)));
        viewTime.add(accounts, ResourceMeter.medianCpuUs(() -> new ConfigurationView(state)));
        ChangeSet changeSet = ConfigurationFixture.change(state, 1);
        ConfigurationView view = new ConfigurationView(state);
        applyTime.add(accounts, ResourceMeter.medianCpuUs(() -> apply(state, view, changeSet)));
        writeTime.add(accounts, ResourceMeter.medianCpuUs(() -> {
            ConfigurationState next = state.apply(changeSet);
            ConfigurationValidator.validate(next);
            ConfigurationCodec.shards(next);
        }));
        shardBytes.add(
                accounts,
                ConfigurationCodec.shards(state).stream()
                        .mapToInt(shard -> shard.content().length)
                        .max()
                        .orElseThrow());
    }

    /** Applies a change set as ConfigurationReplication does, without recording it. */
    private static ConfigurationView apply(ConfigurationState state, ConfigurationView view, ChangeSet changeSet) {
        return view.next(state.apply(changeSet));
    }

    private static int headBytes(ConfigurationState state, int changeSets) {
        ConfigurationState current = state;
        List<ChangeSet> recent = new ArrayList<>();
        for (int i = 0; i < changeSets; i++) {
            ChangeSet changeSet = ConfigurationFixture.change(current, 1);
            recent.add(changeSet);
            current = current.apply(changeSet);
        }
        return ConfigurationCodec.write(
                        ConfigurationCodec.head(current, ConfigurationCodec.shards(current), recent, "operator-1", 0))
                .length;
    }
}
