package org.cranberrybend.controller.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.IntNode;
import java.util.List;
import org.cranberrybend.controller.testing.FaultyKeyValueStore;
import org.cranberrybend.core.configuration.EntityChange;
import org.cranberrybend.core.configuration.EntityKind;
import org.cranberrybend.core.error.RequestFailedException;
import org.cranberrybend.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ShardCleanerTest {
    private final FaultyKeyValueStore store = new FaultyKeyValueStore();
    private final ManualTimeSource time = new ManualTimeSource(1_000_000);
    private final ConfigurationFixture operator = new ConfigurationFixture("a", store, time);
    private final ConfigurationFixture cleaner = new ConfigurationFixture("b", store, time);

    private void set(int value) throws RequestFailedException {
        EntityChange change = new EntityChange(EntityKind.SETTING, "limit", IntNode.valueOf(value));
        long seen = operator.accepted.state().revision();
        operator.writer.write(new ChangeRequest(seen, "ana", List.of(change), false));
    }

    // Guards against a head that refers to a shard which was deleted while a change restored the shard's content.
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5})
    void contentThatIsReusedIsKept(int interruptedCall) throws RequestFailedException {
        set(1);
        set(2);
        cleaner.watcher.run();
        time.advanceMs(ShardCleaner.DELETION_DELAY_MS);
        store.faults().runBeforeCall(interruptedCall, cleaner.watcher::run);

        set(1);
        cleaner.watcher.run();

        assertThat(ConfigurationFixture.stored(store, time)).isEqualTo(operator.accepted.state());
    }

    // Guards against a store that grows with every change.
    @Test
    void supersededContentIsDeletedAfterTheDelay() throws RequestFailedException {
        for (int i = 0; i < 5; i++) {
            set(i);
            cleaner.watcher.run();
        }
        assertThat(store.keys(ConfigurationRepository.SHARD_PREFIX)).hasSize(5);

        time.advanceMs(ShardCleaner.DELETION_DELAY_MS);
        cleaner.watcher.run();

        assertThat(store.keys(ConfigurationRepository.SHARD_PREFIX)).hasSize(1);
    }
}
