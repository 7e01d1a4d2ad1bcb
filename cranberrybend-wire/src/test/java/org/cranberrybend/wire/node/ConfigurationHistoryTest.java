package org.cranberrybend.wire.node;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import org.cranberrybend.core.configuration.ChangeSet;
import org.cranberrybend.core.configuration.EntityChange;
import org.cranberrybend.core.configuration.EntityKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What an instance keeps of the latest changes of the configuration for instances that are behind. */
class ConfigurationHistoryTest {
    private static final int CHANGES = 300;
    private static final int MAX_KEPT_CHARS = 4 * 1024 * 1024;

    private final ConfigurationHistory history = new ConfigurationHistory();

    private static ChangeSet change(int revision, int length) {
        TextNode value = TextNode.valueOf("x".repeat(length));
        return new ChangeSet(
                revision, "previous", "operator", 0, List.of(new EntityChange(EntityKind.values()[0], "a", value)));
    }

    private int reach() {
        int oldest = CHANGES;
        while (oldest > 0 && !history.after(oldest - 1).isEmpty()) {
            oldest--;
        }
        return CHANGES - oldest;
    }

    // Guards against a history that is bounded by the number of its change sets: 256 of 400,000 characters each do not
    // fit the memory of an instance.
    @ParameterizedTest
    @CsvSource({"10, 256", "16000, 256", "400000, 10", "5000000, 1"})
    void historyIsBoundedBySize(int length, int expectedAtMost) {
        for (int revision = 1; revision <= CHANGES; revision++) {
            history.add(change(revision, length));
        }
        assertThat(reach()).isAtMost(expectedAtMost);
        assertThat(reach()).isAtLeast(Math.min(expectedAtMost, Math.max(1, MAX_KEPT_CHARS / (length + 200))));
        assertThat(history.after(CHANGES - 1)).hasSize(1);
    }
}
