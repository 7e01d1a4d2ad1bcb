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

    // The expiry must count from the request and not from its response. Otherwise the lease could be used after it has
    // expired at the platform.
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

    // A check must not cover a write after a pause, even if the lease was renewed, or a write under a later grant.
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

    // A new lease holder must not write while a paused predecessor may still write.
    @ParameterizedTest
    @CsvSource({"13_499, false", "13_500, true"})
    void takeoverDelayCountsFromResponse(String nowMs, boolean over) {
        guard.recordAcquired(new FencingNumber(2), 0, 500);

        assertThat(guard.isTakeoverDelayOver(number(nowMs))).isEqualTo(over);
    }

    // An order must not be abandoned while it may still arrive, and must be confirmed once the platform lists it.
    @ParameterizedTest
    @CsvSource({
        "INTENDED, false, 0, ABANDONED",
        "SENT, true, 0, CONFIRMED",
        "SENT, false, 12_999, SENT",
        "SENT, false, 13_000, ABANDONED",
        "CONFIRMED, false, 20_000, CONFIRMED",
    })
    void reconciledState(OrderState state, boolean accepted, String afterMs, OrderState expected) {
        OrderIntent intent = new OrderIntent("1-a", "z", 1, OrderAction.START, Market.GUARANTEED, "m", "", state);
        OrderReconciler reconciler = new OrderReconciler(TIMES.takeoverDelayMs());
        Set<String> list = accepted ? Set.of("1-a") : Set.of();

        List<OrderIntent> reconciled = reconciler.reconcile(List.of(intent), list, 1_000);
        if (reconciled.isEmpty()) {
            reconciled = reconciler.reconcile(List.of(intent), list, 1_000 + number(afterMs));
        }

        assertThat(reconciled.isEmpty() ? state : reconciled.get(0).state()).isEqualTo(expected);
    }

    // A lease must not be used after it was released or lost.
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
