package org.cranberrybend.entry.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrybend.core.quarantine.CrashRecord;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.quarantine.Standing;
import org.cranberrybend.core.quarantine.UpstreamIncarnation;
import org.cranberrybend.core.quarantine.Verdict;
import org.cranberrybend.entry.duty.FleetKeys;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreWrite;
import org.cranberrybend.entry.testing.MemoryStore;
import org.cranberrybend.entry.testing.TestClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class QuarantineArchiveTest {
    private static final PartFingerprint HARMFUL = PartFingerprint.of("model", "harmful");
    private static final long READ_RETRY_MS = 2_000;

    private final TestClock clock = new TestClock();
    private final MemoryStore store = new MemoryStore(clock);

    /** One instance with its archive. */
    private final class Instance {
        private final DecisionLog log = new DecisionLog("instance", 1, clock, OutputStream.nullOutputStream());
        private final QuarantineService quarantine = new QuarantineService(null, store, "instance", null, clock, log);
        private final QuarantineArchive archive;

        Instance(boolean holdsLease) {
            archive = new QuarantineArchive(store, quarantine, () -> holdsLease, clock, log);
        }

        void learnCrashes() {
            List<CrashRecord> crashes = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                crashes.add(new CrashRecord(
                        new UpstreamIncarnation("engine" + i, 1),
                        clock.monotonicMs() - i * 1_000L,
                        Map.of(HARMFUL, Standing.NEVER_ANSWERED)));
            }
            quarantine.merge(crashes, "test");
        }

        Verdict.Kind verdict() {
            return quarantine.verdict(List.of(HARMFUL)).kind();
        }
    }

    /** Has the holder of the duty lease read the store, learn of crashes and write them. */
    private void writeRecords() {
        Instance holder = new Instance(true);
        holder.archive.tick();
        holder.learnCrashes();
        holder.archive.tick();
    }

    // Guards against losing further engines to a known prompt part after all instances have ended at once.
    @Test
    void startedInstanceReadsWhatTheFleetKnew() {
        writeRecords();
        clock.advance(5_000);
        Instance started = new Instance(false);
        assertThat(started.verdict()).isEqualTo(Verdict.Kind.ADMIT);
        started.archive.tick();
        assertThat(started.verdict()).isEqualTo(Verdict.Kind.REFUSE);
    }

    // Guards against writes that grow with the fleet: only the holder of the duty lease writes, and only changes.
    @Test
    void onlyTheHolderWritesChanges() {
        Instance other = new Instance(false);
        Instance holder = new Instance(true);
        for (Instance each : List.of(other, holder)) {
            each.archive.tick();
            each.learnCrashes();
            for (int i = 0; i < 10; i++) {
                each.archive.tick();
            }
        }
        assertThat(store.writes()).isEqualTo(1);
    }

    // Guards against giving up the read if the store is unavailable at the start.
    @Test
    void readIsRetried() {
        writeRecords();
        store.setDown(true);
        Instance started = new Instance(false);
        started.archive.tick();
        store.setDown(false);
        started.archive.tick();
        assertThat(started.verdict()).isEqualTo(Verdict.Kind.ADMIT);
        clock.advance(READ_RETRY_MS);
        started.archive.tick();
        assertThat(started.verdict()).isEqualTo(Verdict.Kind.REFUSE);
    }

    // Guards against a stepped clock of the reader that moves crashes into the future, and a block with them.
    @ParameterizedTest
    @CsvSource({"0,REFUSE", "-3600000,REFUSE", "31000,PROBE", "7200000,ADMIT"})
    void ageOfStoredCrashesFollowsTheWallClock(long shiftMs, Verdict.Kind expected) {
        writeRecords();
        clock.shiftWall(shiftMs);
        Instance started = new Instance(false);
        started.archive.tick();
        assertThat(started.verdict()).isEqualTo(expected);
    }

    // Guards against a value that another program wrote: it must not end the process or the archive.
    @ParameterizedTest
    @ValueSource(strings = {"", "x", "{}", "{\"written_wall_ms\":1e400,\"crashes\":[]}"})
    void unreadableValueIsIgnored(String value) {
        store.write(StoreWrite.put(FleetKeys.CRASHES, value.getBytes(StandardCharsets.UTF_8)));
        writeRecords();
        assertThat(store.text(FleetKeys.CRASHES).get()).contains("engine0");
    }

    // The store comes back from a copy without the records: guards against losing them for the next start of the fleet.
    @Test
    void recordsAreWrittenAgainAfterARestoration() {
        MemoryStore.Copy copy = store.copy();
        Instance holder = new Instance(true);
        holder.archive.tick();
        holder.learnCrashes();
        holder.archive.tick();
        store.restore(copy);
        holder.archive.tick();
        Instance started = new Instance(false);
        started.archive.tick();
        assertThat(started.verdict()).isEqualTo(Verdict.Kind.REFUSE);
    }
}
