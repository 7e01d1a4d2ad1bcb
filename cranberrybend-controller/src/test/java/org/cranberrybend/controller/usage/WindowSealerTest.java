package org.cranberrybend.controller.usage;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import org.cranberrybend.controller.testing.FaultyKeyValueStore;
import org.cranberrybend.controller.testing.FixedMembers;
import org.cranberrybend.core.time.ManualTimeSource;
import org.cranberrybend.core.usage.SealedWindow;
import org.cranberrybend.core.usage.UsageKey;
import org.cranberrybend.core.usage.UsageLedger;
import org.cranberrybend.core.usage.UsageTotals;
import org.cranberrybend.core.usage.UsageWindow;
import org.cranberrybend.runtime.event.EventLog;
import org.cranberrybend.runtime.platform.PlatformException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Interleavings of two processes that the nested calls of {@link UsageFuzzTest} cannot produce. */
class WindowSealerTest {
    private static final UsageKey KEY = new UsageKey("north", "quick", "stub-writer");
    private static final UsageWindow FIRST = new UsageWindow(600_000);
    private static final int LAST = 8;
    // The sealer lists the markers, three earlier windows, the marked window and the window itself.
    private static final int CALLS_BEFORE_SEALING = 6;

    private final ManualTimeSource time = new ManualTimeSource(FIRST.startMs());
    private final FaultyKeyValueStore store = new FaultyKeyValueStore();
    private final EventLog events = FixedMembers.alone("a", "szeged-a").eventLog(time);
    private final WindowSealer sealer = new WindowSealer(new UsageStore(store), events);

    private static UsageWindow window(int index) {
        return new UsageWindow(FIRST.startMs() + index * UsageWindow.LENGTH_MS);
    }

    private OpenUsageWriter writer(UsageCollector collector) {
        return new OpenUsageWriter(collector, store, "szeged-a", "a", time, 30_000, 5_000);
    }

    private void recordUsage(String source, UsageWindow window, long tokens) {
        UsageCollector collector = new UsageCollector();
        collector.merge(window, UsageLedger.EMPTY.merge(source, Map.of(KEY, new UsageTotals(1, 0, tokens))));
        writer(collector).run();
    }

    private void seal(int from, int until) throws PlatformException {
        for (int index = from; index < until; index++) {
            sealer.seal(window(index), FIRST);
        }
    }

    private SealedWindow sealed(UsageWindow window) {
        return SealedWindow.fromBytes(store.read(UsageStoreKeys.sealed(window)).value());
    }

    private long billedTokens(UsageWindow origin) {
        long tokens = 0;
        for (String key : store.keys("usage/sealed/")) {
            tokens += SealedWindow.fromBytes(store.read(key).value())
                    .billedFor(origin)
                    .getOrDefault(KEY, UsageTotals.NONE)
                    .outputTokens();
        }
        return tokens;
    }

    // Guards against usage that is lost when a restarted controller overwrites its record.
    @Test
    void recordOfAnEarlierIncarnationIsKept() throws PlatformException {
        recordUsage("r1@1", FIRST, 5);
        recordUsage("r2@1", FIRST, 7);

        assertThat(new UsageStore(store).recordedTotals(FIRST)).containsExactly(KEY, new UsageTotals(2, 0, 12));
    }

    // Guards against late usage that is lost because its marker is deleted although another process sealed the window.
    @Test
    void markerIsKeptWhenAnotherProcessSeals() throws PlatformException {
        seal(0, LAST);
        time.advanceMs(LAST * UsageWindow.LENGTH_MS);
        recordUsage("r1@1", FIRST, 5);
        SealedWindow sealedByOther = SealedWindow.of(window(LAST), Map.of(), ImmutableSortedMap.of());
        store.faults()
                .runBeforeCall(
                        CALLS_BEFORE_SEALING,
                        () -> store.write(UsageStoreKeys.sealed(window(LAST)), sealedByOther.toBytes()));

        seal(LAST, LAST + 2);

        assertThat(sealed(window(LAST))).isEqualTo(sealedByOther);
        assertThat(billedTokens(FIRST)).isEqualTo(5);
    }

    // Guards against late usage that is lost because its marker is written again while a window is being sealed.
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void usageThatArrivesWhileSealingIsBilledOnce(int call) throws PlatformException {
        seal(0, LAST);
        time.advanceMs(LAST * UsageWindow.LENGTH_MS);
        recordUsage("r1@1", FIRST, 5);
        store.faults().runBeforeCall(call, () -> recordUsage("r2@1", FIRST, 7));

        // Usage that arrives after the markers were read is carried over to the next window.
        seal(LAST, LAST + 4);

        assertThat(billedTokens(FIRST)).isEqualTo(12);
    }
}
