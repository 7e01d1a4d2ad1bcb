package org.cranberrybend.core.rateshare;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RateSlotsTest {
    private static final SliceRate RATE = new SliceRate(1, 334, 1_000);
    private static final long START_MS = 1_000_000;
    private static final long STEP_MS = 4_000;

    private final SenderRoster roster = new SenderRoster();
    private final RateSlots slots = new RateSlots("own", roster, SenderRequirement.SETTLED);

    /** Confirms a list for a time, as a watch does; returns the time of the last confirmation. */
    private long confirm(Set<String> listed, long fromMs, long durationMs) {
        long nowMs = fromMs;
        for (; nowMs < fromMs + durationMs; nowMs += STEP_MS) {
            roster.confirm(listed, nowMs);
        }
        roster.confirm(listed, fromMs + durationMs);
        return fromMs + durationMs;
    }

    private long settled() {
        return confirm(Set.of("own"), START_MS, SenderRoster.SETTLE_MS);
    }

    // Guards against an instance that sends although its list is missing, short-lived, or old.
    @ParameterizedTest
    @CsvSource({
        "0, 0, false",
        "23999, 0, false",
        "24000, 0, true",
        "24000, 6000, true",
        "24000, 6001, false",
        "60000, 0, true"
    })
    void senderNeedsASteadyAndRecentList(long listedForMs, long ageMs, boolean free) {
        long nowMs = confirm(Set.of("own"), START_MS, listedForMs) + ageMs;
        assertThat(slots.isFree("u", RATE, nowMs)).isEqualTo(free);
    }

    // Guards against sending without any list, or while this instance itself is not registered.
    @Test
    void unlistedInstanceDoesNotSend() {
        assertThat(slots.isFree("u", RATE, START_MS)).isFalse();
        long nowMs = confirm(Set.of("other"), START_MS, 2 * SenderRoster.SETTLE_MS);
        assertThat(slots.isFree("u", RATE, nowMs)).isFalse();
    }

    // Guards against two senders in turn within a window, because one takes the place of another that has just left.
    @Test
    void leftInstanceCountsUntilItsSuccessorMaySend() {
        Set<String> both = Set.of("own", "other");
        String upstream = "u0";
        for (int i = 1; roster.rank("own", upstream) == 0; i++) {
            confirm(both, START_MS, 0);
            upstream = "u" + i;
        }
        long leftMs = confirm(both, START_MS, SenderRoster.SETTLE_MS) + 1;
        long nowMs = confirm(Set.of("own"), leftMs, SenderRoster.SETTLE_MS - 1);
        assertThat(slots.isFree(upstream, RATE, nowMs)).isFalse();
        roster.confirm(Set.of("own"), nowMs + 1);
        assertThat(slots.isFree(upstream, RATE, nowMs + 1)).isTrue();
    }

    // Guards against requests closer than the interval: it counts from the sending, not from the reservation.
    @Test
    void intervalCountsFromTheSending() {
        long nowMs = settled();
        assertThat(slots.tryReserve("u", RATE, nowMs)).isTrue();
        assertThat(slots.isFree("u", RATE, nowMs + 1)).isFalse();
        assertThat(slots.tryTake("u", RATE, false, nowMs + 1)).isFalse();
        assertThat(slots.tryTake("u", RATE, true, nowMs + 500)).isTrue();
        assertThat(slots.isFree("u", RATE, nowMs + 833)).isFalse();
        assertThat(slots.tryTake("u", RATE, false, nowMs + 834)).isTrue();
        assertThat(slots.isFree("other", RATE, nowMs + 835)).isTrue();
    }

    // Guards against a slot that is lost because its request was not sent.
    @Test
    void reservedSlotIsGivenBack() {
        long nowMs = settled();
        assertThat(slots.tryReserve("u", RATE, nowMs)).isTrue();
        slots.release("u");
        assertThat(slots.tryTake("u", RATE, false, nowMs)).isTrue();
        slots.release("u");
        assertThat(slots.isFree("u", RATE, nowMs + 1)).isFalse();
    }

    // Guards against a request that is sent with a slot reserved by an instance that is no longer a sender.
    @Test
    void reservationEndsWithTheList() {
        long nowMs = settled();
        assertThat(slots.tryReserve("u", RATE, nowMs)).isTrue();
        assertThat(slots.tryTake("u", RATE, true, nowMs + SenderRoster.MAX_AGE_MS + 1))
                .isFalse();
        assertThat(confirm(Set.of("own"), nowMs + SenderRoster.MAX_AGE_MS + 2, SenderRoster.SETTLE_MS))
                .isGreaterThan(nowMs);
        assertThat(slots.isFree("u", RATE, nowMs + SenderRoster.MAX_AGE_MS + 2 + SenderRoster.SETTLE_MS))
                .isTrue();
    }

    // Guards against all instances beginning at the same moment after the warm-up.
    @Test
    void instancesBeginOneAfterAnotherInTheRamp() {
        Set<String> fleet = Set.of("own", "b", "c", "d");
        roster.confirm(fleet, START_MS);
        int admitted = 0;
        for (String name : fleet) {
            admitted +=
                    new RateSlots(name, roster, SenderRequirement.SETTLED).isAdmittedInRamp("u", 0.5, START_MS) ? 1 : 0;
            assertThat(new RateSlots(name, roster, SenderRequirement.SETTLED).isAdmittedInRamp("u", 1, START_MS))
                    .isTrue();
        }
        assertThat(admitted).isEqualTo(3);
        assertThat(new RateSlots("unlisted", roster, SenderRequirement.SETTLED).isAdmittedInRamp("u", 0.99, START_MS))
                .isFalse();
    }
}
