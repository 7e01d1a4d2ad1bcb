package org.cranberrybend.core.lease;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.cranberrybend.core.routing.Market;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaseGuardTest {
    private static final LeaseTimes TIMES = new LeaseTimes(10_000, 1_000, 3_000);

    private final LeaseGuard guard = new LeaseGuard(TIMES);

    // Guards against a lease that is used after its expiry at the platform, or counted from the response.
    @ParameterizedTest
    @CsvSource({
        "100, 8_999, true",
        "100, 9_000, false",
        "5_000, 8_999, true",
        "5_000, 9_000, false",
    })
    void expiryCountsFromBeforeTheRequest(String receivedMs, String nowMs, boolean valid) {
        guard.recordAcquired(new FencingNumber(1), 0, number(receivedMs));

        assertThat(guard.check(number(nowMs)).isPresent()).isEqualTo(valid);
    }

    // Guards against a write after a pause, a renewal that hides it, and a check of an earlier grant.
    @ParameterizedTest
    @CsvSource({
        "1_000, 2_000, 0, 1, true",
        "1_000, 2_001, 0, 1, false",
        "8_500, 9_400, 0, 1, false",
        "8_500, 9_400, 3_000, 1, true",
        "1_000, 1_500, 0, 2, false",
    })
    void checkCoversAWrite(String checkMs, String writeMs, String renewedMs, long grants, boolean covered) {
        guard.recordAcquired(new FencingNumber(1), 0, 0);
        LeaseCheck check = guard.check(number(checkMs)).orElseThrow();
        guard.recordRenewed(number(renewedMs));
        if (grants > 1) {
            guard.recordAcquired(new FencingNumber(grants), number(checkMs), number(checkMs));
        }

        assertThat(guard.covers(check, number(writeMs))).isEqualTo(covered);
    }

    // Guards against a successor that writes while a paused predecessor may still do so.
    @ParameterizedTest
    @CsvSource({"13_499, false", "13_500, true"})
    void successorWaitCountsFromTheResponse(String nowMs, boolean over) {
        guard.recordAcquired(new FencingNumber(2), 0, 500);

        assertThat(guard.isTakeoverDelayOver(number(nowMs))).isEqualTo(over);
    }

    // Guards against an order that is given up while it may still arrive, or left open although it is known.
    @ParameterizedTest
    @CsvSource({
        "INTENDED, false, 0, ABANDONED",
        "SENT, true, 0, CONFIRMED",
        "SENT, false, 12_999, SENT",
        "SENT, false, 13_000, ABANDONED",
        "CONFIRMED, false, 20_000, CONFIRMED",
    })
    void settledState(OrderState state, boolean accepted, String afterMs, OrderState expected) {
        OrderIntent intent = new OrderIntent("1-a", "z", 1, OrderAction.START, Market.GUARANTEED, "m", "", state);
        OrderReconciler reconciler = new OrderReconciler(TIMES.takeoverDelayMs());
        Set<String> list = accepted ? Set.of("1-a") : Set.of();

        List<OrderIntent> settled = reconciler.reconcile(List.of(intent), list, 1_000);
        if (settled.isEmpty()) {
            settled = reconciler.reconcile(List.of(intent), list, 1_000 + number(afterMs));
        }

        assertThat(settled.isEmpty() ? state : settled.get(0).state()).isEqualTo(expected);
    }

    // Guards against a lease that is used after it was given back.
    @Test
    void lostLeaseIsNotValid() {
        guard.recordAcquired(new FencingNumber(1), 0, 0);
        guard.recordLost();

        assertThat(guard.check(1).isPresent()).isFalse();
        assertThat(guard.isTakeoverDelayOver(1_000_000)).isFalse();
    }

    private static long number(String text) {
        return Long.parseLong(text.replace("_", ""));
    }
}
