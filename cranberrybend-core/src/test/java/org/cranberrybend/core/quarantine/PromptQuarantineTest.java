package org.cranberrybend.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class PromptQuarantineTest {
    private static final long START_MS = 1_000_000;
    private static final long CRASH_INTERVAL_MS = 1_000;

    private final PromptQuarantine quarantine = new PromptQuarantine();
    private long nowMs = START_MS;
    private int crashed;

    private static List<PartFingerprint> parts(String... names) {
        return Stream.of(names).map(name -> PartFingerprint.of("model", name)).collect(Collectors.toList());
    }

    /** An engine crashes, and requests with all the given parts are lost with it. */
    private void crash(String... names) {
        nowMs += CRASH_INTERVAL_MS;
        crashNow(names);
    }

    private void crashNow(String... names) {
        quarantine.recordCrash(new UpstreamIncarnation("engine" + crashed++, START_MS), parts(names), nowMs, nowMs);
    }

    private void answer(String... names) {
        nowMs++;
        quarantine.recordAnswer(parts(names), nowMs);
    }

    private Verdict.Kind verdict(String... names) {
        return quarantine.verdict(parts(names), nowMs).kind();
    }

    // Guards against blaming the requests that end with the same engine as the harmful one.
    @Test
    void requestsBesideTheHarmfulOneAreAdmitted() {
        crash("harmful", "beside1", "popular");
        crash("harmful", "beside2", "popular");
        answer("popular");
        crash("harmful", "beside1", "popular");
        assertThat(verdict("harmful")).isEqualTo(Verdict.Kind.REFUSE);
        assertThat(verdict("other", "harmful")).isEqualTo(Verdict.Kind.REFUSE);
        for (String sound : List.of("beside1", "beside2", "popular")) {
            assertThat(verdict(sound)).isEqualTo(Verdict.Kind.ADMIT);
        }
    }

    // Guards against refusing requests with a prefix that is in every crash by chance, and against refusing them on
    // after one of them was answered normally.
    @Test
    void normalAnswerClearsAPrefixThatIsInEveryCrash() {
        crash("prefix", "harmful");
        crash("prefix", "harmful");
        crash("prefix", "harmful");
        assertThat(verdict("prefix", "harmful")).isEqualTo(Verdict.Kind.REFUSE);
        assertThat(verdict("prefix")).isEqualTo(Verdict.Kind.ADMIT);
        answer("prefix");
        assertThat(verdict("prefix")).isEqualTo(Verdict.Kind.ADMIT);
        assertThat(verdict("harmful")).isEqualTo(Verdict.Kind.REFUSE);
    }

    // Guards against refusing only the pair of parts after it turned out which of them is the harmful one.
    @Test
    void furtherCrashTellsTwoPartsApart() {
        crash("first", "second");
        crash("first", "second");
        crash("first", "second");
        crash("first");
        assertThat(verdict("first")).isEqualTo(Verdict.Kind.REFUSE);
        assertThat(verdict("second")).isEqualTo(Verdict.Kind.ADMIT);
    }

    // Guards against admitting the harmful part because a popular part was in the same crashes.
    @Test
    void partThatWasAnsweredBeforeIsLessSuspicious() {
        answer("popular");
        crash("popular", "harmful");
        crash("popular", "harmful");
        crash("popular", "harmful");
        assertThat(verdict("harmful")).isEqualTo(Verdict.Kind.REFUSE);
        assertThat(verdict("popular")).isEqualTo(Verdict.Kind.ADMIT);
    }

    // Guards against a memory of good answers that protects a part for ever, such as after a faulty release of engines.
    @Test
    void partThatWasAnsweredBeforeCanBeHarmfulLater() {
        answer("part");
        crash("part");
        crash("part");
        crash("part");
        assertThat(verdict("part")).isEqualTo(Verdict.Kind.REFUSE);
    }

    // Guards against refusing parts that were in some of the crashes only, if all parts were answered before.
    @Test
    void partsOfSomeCrashesAreNotQuarantinedWithTheHarmfulOne() {
        answer("harmful", "beside1", "beside2");
        crash("harmful", "beside1");
        crash("harmful", "beside2");
        crash("harmful");
        assertThat(verdict("harmful")).isEqualTo(Verdict.Kind.REFUSE);
    }

    // Guards against taking the failure of a rack for evidence: its engines end at the same moment.
    @Test
    void enginesThatEndTogetherCountAsOneCrash() {
        nowMs += CRASH_INTERVAL_MS;
        for (int i = 0; i < 20; i++) {
            crashNow("popular");
        }
        crash("popular");
        assertThat(verdict("popular")).isEqualTo(Verdict.Kind.ADMIT);
        crash("popular");
        assertThat(verdict("popular")).isEqualTo(Verdict.Kind.REFUSE);
    }

    // Guards against counting a crash once for each instance that saw it.
    @Test
    void crashSeenBySeveralInstancesCountsOnce() {
        for (int i = 0; i < 5; i++) {
            quarantine.recordCrash(
                    new UpstreamIncarnation("engine", START_MS), parts("part"), nowMs + i * 200, nowMs + i * 200);
        }
        assertThat(verdict("part")).isEqualTo(Verdict.Kind.ADMIT);
    }

    // Guards against treating an upstream that has started again under its identifier as the one that crashed before.
    @Test
    void crashesOfFurtherIncarnationsCount() {
        for (int i = 0; i < 3; i++) {
            quarantine.recordCrash(
                    new UpstreamIncarnation("engine", START_MS + i), parts("part"), nowMs + i * 200, nowMs + i * 200);
        }
        assertThat(verdict("part")).isEqualTo(Verdict.Kind.REFUSE);
    }

    // Guards against a herd of requests when a block ends, and against a block without end.
    @Test
    void onlyProbesFollowABlock() {
        crash("part");
        crash("part");
        crash("part");
        assertThat(verdict("part")).isEqualTo(Verdict.Kind.REFUSE);
        nowMs += CrashAttribution.FIRST_BLOCK_MS;
        assertThat(verdict("part")).isEqualTo(Verdict.Kind.PROBE);
        answer("part");
        assertThat(verdict("part")).isEqualTo(Verdict.Kind.ADMIT);
    }

    // Guards against probing a part that still crashes engines at the same rate for ever.
    @Test
    void crashOfAProbeDoublesTheBlock() {
        crash("part");
        crash("part");
        crash("part");
        long blockMs = CrashAttribution.FIRST_BLOCK_MS;
        for (int probe = 0; probe < 3; probe++) {
            nowMs += blockMs;
            assertThat(verdict("part")).isEqualTo(Verdict.Kind.PROBE);
            crash("part");
            blockMs *= 2;
            nowMs += blockMs - 1;
            assertThat(verdict("part")).isEqualTo(Verdict.Kind.REFUSE);
            nowMs -= blockMs - 1;
        }
    }

    // Guards against counting the crashes that were under way when a block began as failed probes.
    @Test
    void crashesDuringABlockDoNotProlongIt() {
        crash("part");
        crash("part");
        crash("part");
        long endMs = nowMs + CrashAttribution.FIRST_BLOCK_MS;
        crash("part");
        crash("part");
        nowMs = endMs;
        assertThat(verdict("part")).isEqualTo(Verdict.Kind.PROBE);
    }

    static Stream<Arguments> recordCounts() {
        return Stream.of(Arguments.of(1), Arguments.of(63), Arguments.of(64), Arguments.of(65), Arguments.of(500));
    }

    // Guards against memory that grows with the number of crashes, and against losing a quarantine to other crashes.
    @ParameterizedTest
    @MethodSource("recordCounts")
    void recordsAreBoundedAndKeepTheQuarantine(int others) {
        crash("harmful");
        crash("harmful");
        crash("harmful");
        for (int i = 0; i < others; i++) {
            crash("sound" + i);
        }
        assertThat(quarantine.records().size()).isAtMost(PromptQuarantine.MAX_RECORDS);
        assertThat(quarantine.quarantines()).hasSize(1);
        assertThat(quarantine.quarantines().get(0).parts()).isEqualTo(Set.copyOf(parts("harmful")));
    }

    // Guards against memory that grows with the number of requests on a crashed engine, and against losing the harmful
    // part among many that were answered before.
    @Test
    void partsOfARecordAreBoundedAndKeepTheUnansweredOnes() {
        List<String> names =
                IntStream.range(0, 1_000).mapToObj(i -> "sound" + i).collect(Collectors.toList());
        answer(names.toArray(new String[0]));
        names.add("harmful");
        for (int i = 0; i < 3; i++) {
            crash(names.toArray(new String[0]));
        }
        quarantine.records().forEach(each -> assertThat(each.standings().size()).isAtMost(CrashRecord.MAX_PARTS));
        assertThat(verdict("harmful")).isEqualTo(Verdict.Kind.REFUSE);
        assertThat(verdict("sound1")).isEqualTo(Verdict.Kind.ADMIT);
    }

    // Guards against evidence that never ages: crashes that explain nothing must not add up over hours.
    @Test
    void crashesThatExplainNothingExpire() {
        List<Verdict.Kind> verdicts = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            crash("rare");
            nowMs += 100_000;
            quarantine.expire(nowMs);
            verdicts.add(verdict("rare"));
        }
        assertThat(Set.copyOf(verdicts)).containsExactly(Verdict.Kind.ADMIT);
    }
}
