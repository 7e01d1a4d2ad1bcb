package org.cranberrybend.controller.configuration;

import com.fasterxml.jackson.databind.node.IntNode;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.cranberrybend.controller.schedule.Backoff;
import org.cranberrybend.controller.schedule.ControllerRanking;
import org.cranberrybend.controller.testing.FaultyKeyValueStore;
import org.cranberrybend.controller.testing.FixedMembers;
import org.cranberrybend.controller.testing.InMemoryConfigurationStore;
import org.cranberrybend.core.configuration.ConfigurationState;
import org.cranberrybend.core.configuration.EntityChange;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.PlatformException;

/** One controller with its own accepted configuration and a shared key-value store. */
public final class ConfigurationFixture {
    public final InMemoryConfigurationStore accepted = new InMemoryConfigurationStore();
    public final EventLog events;
    public final ConfigurationWriter writer;
    public final ConfigurationWatcher watcher;
    public final ConfigurationSynchronizer synchronizer;

    public ConfigurationFixture(String instance, FaultyKeyValueStore store, ManualTimeSource time) {
        FixedMembers members = FixedMembers.alone(instance, "zone-" + instance);
        events = members.eventLog(time);
        ConfigurationRepository repository = new ConfigurationRepository(store, time);
        synchronizer = new ConfigurationSynchronizer(repository, accepted, events);
        writer = new ConfigurationWriter(repository, synchronizer, accepted, time, events);
        watcher = new ConfigurationWatcher(
                store,
                synchronizer,
                new PendingRevocations(accepted, writer),
                new ShardCleaner(store, time),
                new ControllerRanking(members),
                new Backoff(500, 10_000, RandomSource.SPLIT_MIX_64.create(1L)),
                events);
    }

    /**
     * Returns a change of one setting, and of another one whose value alternates so that earlier shard contents recur.
     */
    public static ChangeRequest setting(long seenRevision, String author, String name, int value) {
        EntityChange change = new EntityChange(EntityKind.SETTING, name, IntNode.valueOf(value));
        EntityChange alternating = new EntityChange(EntityKind.SETTING, "alternating", IntNode.valueOf(value % 2));
        return new ChangeRequest(seenRevision, author, List.of(change, alternating), false);
    }

    /** Returns the configuration as read from the store by a process that starts without one. */
    public static ConfigurationState stored(FaultyKeyValueStore store, ManualTimeSource time) {
        try {
            return new ConfigurationRepository(store, time)
                    .load(store.read(ConfigurationRepository.HEAD_KEY), ConfigurationState.EMPTY)
                    .state();
        } catch (PlatformException e) {
            throw new AssertionError("the stored configuration cannot be read", e);
        }
    }

    public long count(EventCode code) {
        return events.eventsAfter(0).stream()
                .filter(each -> each.code() == code)
                .count();
    }
}
