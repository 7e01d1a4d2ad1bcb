package org.cranberrybend.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cranberrybend.core.admission.OverloadQueue.Demand;
import org.cranberrybend.core.admission.OverloadQueue.Entry;
import org.cranberrybend.core.admission.ServiceOccupancy.Decision;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class OverloadQueueTest {
    private static Demand demand(String text) {
        // account, priority, tokens, time until which it may wait
        return new Demand(
                text.substring(0, 1),
                text.charAt(1) - '0',
                text.charAt(2) == 'L' ? 10_000 : 200,
                10,
                Long.parseLong(text.substring(3)));
    }

    // Guards against an order in which an account with many requests, a large request or a returning one gains places.
    @ParameterizedTest
    @CsvSource({
        // Priority first, whatever was added before.
        "a1s5 a1s5 b0s9, b0s9 a1s5 a1s5",
        // Accounts in turn by tokens: the one request of b is not behind all those of a.
        "a0s5 a0s6 a0s7 b0s9, a0s5 b0s9 a0s6 a0s7",
        // A large request counts for many small ones of the other account.
        "a0L5 a0L6 b0s7 b0s8 b0s9, a0L5 b0s7 b0s8 b0s9 a0L6",
        // Large and small ones of one account and target in the order of arrival.
        "a0L5 a0s6 a0L7 a0s8, a0L5 a0s6 a0L7 a0s8",
        // The one that may wait least first.
        "a0s9 a0s5, a0s5 a0s9",
    })
    void requestsAreSentInOrder(String added, String expected) {
        OverloadQueue<String> queue = new OverloadQueue<>(10, 1_000);
        for (String each : added.split(" ")) {
            queue.add(each, demand(each));
        }
        List<String> sent = new ArrayList<>();
        for (Optional<Entry<String>> next = queue.next(each -> true);
                next.isPresent();
                next = queue.next(each -> true)) {
            sent.add(next.get().request());
            queue.removeSent(next.get());
        }
        assertThat(String.join(" ", sent)).isEqualTo(expected);
        assertThat(queue.count()).isEqualTo(0);
        assertThat(queue.bytes()).isEqualTo(0);
    }

    // Guards against a full queue that keeps out an urgent request or an account with few requests.
    @ParameterizedTest
    @CsvSource({
        "a0s5 a0s6 a0s7, b0s9, a0s7",
        "a1s5 b1s6 b1s7, a0s9, b1s7",
        "a0s5 a0s6 b0s7, b0s9, none",
        "a0s5 a0s6 a0s7, a0s9, none",
        "a0s5 a0s6 a0s7, b1s9, none",
        "a0s5 b0s6 c0s7, d0s9, none",
    })
    void requestGivesWayInAFullQueue(String added, String arriving, String expected) {
        OverloadQueue<String> queue = new OverloadQueue<>(3, 1_000);
        for (String each : added.split(" ")) {
            queue.add(each, demand(each));
        }
        assertThat(queue.fits(demand(arriving))).isFalse();
        assertThat(queue.lastBehind(demand(arriving)).map(Entry::request).orElse("none"))
                .isEqualTo(expected);
    }

    // Guards against a request that is lost, sent twice or out of the order of priorities, and against wrong sums.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void everyRequestLeavesOnce(long seed) {
        Random random = new Random(seed);
        OverloadQueue<Integer> queue = new OverloadQueue<>(50, 400);
        List<Entry<Integer>> waiting = new ArrayList<>();
        for (int step = 0; step < 5_000; step++) {
            String context = "seed " + seed + ", step " + step;
            int action = random.nextInt(4);
            Demand demand = new Demand(
                    "account" + random.nextInt(5), random.nextInt(3), random.nextInt(9_000), 10, random.nextInt(99));
            if (action < 2 && queue.fits(demand)) {
                waiting.add(queue.add(step, demand));
            } else if (action == 2 && !waiting.isEmpty()) {
                queue.remove(waiting.remove(random.nextInt(waiting.size())));
            } else {
                Optional<Entry<Integer>> next = queue.next(each -> true);
                assertWithMessage(context).that(next.isPresent()).isEqualTo(!waiting.isEmpty());
                if (next.isPresent()) {
                    int priority = next.get().demand().priority();
                    for (Entry<Integer> each : waiting) {
                        assertWithMessage(context)
                                .that(each.demand().priority())
                                .isAtLeast(priority);
                    }
                    assertWithMessage(context).that(waiting.remove(next.get())).isTrue();
                    queue.removeSent(next.get());
                }
            }
            assertWithMessage(context).that(queue.count()).isEqualTo(waiting.size());
            assertWithMessage(context).that(queue.bytes()).isEqualTo(10L * waiting.size());
        }
    }

    // Guards against waiting or refusals in calm and without knowledge, and against accepting what cannot be answered.
    @ParameterizedTest
    @CsvSource({
        // requests at two upstreams of 8 slots, age of the reports, mean duration, ahead, response, expected
        "10, 10, 100, 100, 0, 100, WAIT",
        "10, 9, 100, 100, 0, 100, SEND",
        "0, 10, 100, 100, 0, 5000, SEND",
        "3, 3, 100, 100, 0, 5000, SEND",
        "90, 90, 3001, 100, 0, 5000, SEND",
        "90, 90, 100, 0, 0, 5000, SEND",
        "90, 90, 100, 100, 0, 1001, REFUSE",
        "90, 90, 100, 100, 0, 985, WAIT",
        "90, 90, 100, 100, 50, 985, REFUSE",
    })
    void decisionFollowsFromOccupancy(
            int first, int second, long ageMs, double durationMs, int ahead, double responseMs, Decision expected) {
        ServiceOccupancy occupancy = new ServiceOccupancy();
        occupancy.clear(durationMs);
        occupancy.add(first, 5, 8, ageMs);
        occupancy.add(second, 5, 8, ageMs);
        assertThat(occupancy.decide(ahead, responseMs, 50, 1_000, 0)).isEqualTo(expected);
    }
}
