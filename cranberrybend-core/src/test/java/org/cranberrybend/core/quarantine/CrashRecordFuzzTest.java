package org.cranberrybend.core.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** A fleet of instances, engines of which some end at random, and requests of which some have the harmful part. */
class CrashRecordFuzzTest {
    private static final String SEED = "20261205";
    private static final int ENGINES = 12;
    private static final int SHARED_PARTS = 10;
    private static final PartFingerprint HARMFUL = PartFingerprint.of("model", "harmful");
    private static final int STEPS = 400;
    private static final int EXCHANGES_PER_STEP = 6;
    /** Harmful requests that may be sent: those until the third crash, and as many again while the news spread. */
    private static final int MAX_HARMFUL_SENDS = 8;

    /** A request at an engine, and the instance that sent it. */
    private record Running(int instance, List<PartFingerprint> parts) {}

    /** The oracle: what really happened. */
    private static final class World {
        private final Random random;
        private final List<PromptQuarantine> instances = new ArrayList<>();
        private final List<List<Running>> engines = new ArrayList<>();
        private final Map<PartFingerprint, Long> lastAnswerMs = new HashMap<>();
        private long nowMs = 1_000_000;
        private int incarnations;
        private int harmfulSends;

        World(long seed, int instanceCount) {
            random = new Random(seed);
            for (int i = 0; i < instanceCount; i++) {
                instances.add(new PromptQuarantine());
            }
            for (int i = 0; i < ENGINES; i++) {
                engines.add(new ArrayList<>());
            }
        }

        private List<PartFingerprint> prompt(boolean harmful) {
            List<PartFingerprint> parts = new ArrayList<>();
            parts.add(PartFingerprint.of("model", "shared" + random.nextInt(SHARED_PARTS)));
            if (harmful) {
                parts.add(random.nextInt(2), HARMFUL);
            }
            return parts;
        }

        void send(boolean harmful) {
            int instance = random.nextInt(instances.size());
            List<PartFingerprint> parts = prompt(harmful);
            if (instances.get(instance).verdict(parts, nowMs).kind() != Verdict.Kind.ADMIT) {
                return;
            }
            int engine = random.nextInt(ENGINES);
            engines.get(engine).add(new Running(instance, parts));
            if (harmful) {
                harmfulSends++;
                end(engine);
            }
        }

        void end(int engine) {
            UpstreamIncarnation incarnation = new UpstreamIncarnation("engine" + engine, incarnations++);
            Map<Integer, Set<PartFingerprint>> lost = new HashMap<>();
            for (Running each : engines.get(engine)) {
                lost.computeIfAbsent(each.instance(), key -> new HashSet<>()).addAll(each.parts());
            }
            lost.forEach((instance, parts) -> instances.get(instance).recordCrash(incarnation, parts, nowMs, nowMs));
            engines.get(engine).clear();
        }

        void answerAll(int engine) {
            for (Running each : engines.get(engine)) {
                instances.get(each.instance()).recordAnswer(each.parts(), nowMs);
                each.parts().forEach(part -> lastAnswerMs.put(part, nowMs));
            }
            engines.get(engine).clear();
        }

        void exchange() {
            PromptQuarantine from = instances.get(random.nextInt(instances.size()));
            instances.get(random.nextInt(instances.size())).merge(from.records(), nowMs);
        }

        void step() {
            nowMs += 50 + random.nextInt(300);
            for (int i = 0; i < 5; i++) {
                send(false);
            }
            if (random.nextInt(5) == 0) {
                send(true);
            }
            if (random.nextInt(20) == 0) {
                end(random.nextInt(ENGINES));
            }
            for (int engine = 0; engine < ENGINES; engine++) {
                if (random.nextInt(3) == 0) {
                    answerAll(engine);
                }
            }
            for (int i = 0; i < EXCHANGES_PER_STEP * instances.size(); i++) {
                exchange();
            }
        }
    }

    // Whatever engines end beside, the harmful part must be sent a few times only, and no quarantine may consist of
    // parts that were answered after its last crash.
    @Property(tries = 100, seed = SEED)
    void harmfulPartIsFoundAndSoundPartsAreNot(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int instanceCount) {
        World world = new World(seed, instanceCount);
        for (int i = 0; i < STEPS; i++) {
            world.step();
        }
        assertWithMessage("harmful requests sent, world %s", seed)
                .that(world.harmfulSends)
                .isAtMost(MAX_HARMFUL_SENDS);
        assertWithMessage("no normal answer to the harmful part")
                .that(world.lastAnswerMs)
                .doesNotContainKey(HARMFUL);
        for (PromptQuarantine instance : world.instances) {
            for (Quarantine each : instance.quarantines()) {
                assertWithMessage("world %s", seed).that(each.parts()).contains(HARMFUL);
            }
        }
    }

    // Instances that have received the same records in any order and any number of times must agree.
    @Property(tries = 100, seed = SEED)
    void mergeDoesNotDependOnOrder(@ForAll long seed) {
        World world = new World(seed, 4);
        for (int i = 0; i < STEPS / 10; i++) {
            world.step();
        }
        List<CrashRecord> records = new ArrayList<>();
        world.instances.forEach(each -> records.addAll(each.records()));
        PromptQuarantine inOrder = new PromptQuarantine();
        inOrder.merge(records, world.nowMs);
        List<CrashRecord> shuffled = new ArrayList<>(records);
        shuffled.addAll(records);
        Collections.shuffle(shuffled, new Random(seed));
        PromptQuarantine byOne = new PromptQuarantine();
        shuffled.forEach(each -> byOne.merge(List.of(each), world.nowMs));
        assertThat(byOne.digest()).isEqualTo(inOrder.digest());
        assertThat(Set.copyOf(byOne.quarantines())).isEqualTo(Set.copyOf(inOrder.quarantines()));
    }
}
