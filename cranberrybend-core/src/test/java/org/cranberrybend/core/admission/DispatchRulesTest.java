package org.cranberrybend.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.routing.UpstreamKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DispatchRulesTest {
    private static final RequestClass CHAT = new RequestClass("chat", Tier.TIER_2, 60_000, 100, 0);
    private static final SlotOutcome DONE = new SlotOutcome(SlotResult.COMPLETED, 10, 10, 50, 500);

    private final DispatchQueue queue =
            new DispatchQueue(DispatchSettings.DEFAULT.withMaxWaiting(4), "entry-1/router", "e1-");

    private static Upstream engine(String id, int slots) {
        return new Upstream(
                id,
                "szeged-a",
                "alfold",
                "127.0.0.1",
                9_000,
                UpstreamKind.ENGINE,
                Set.of("stub"),
                slots,
                Market.GUARANTEED,
                true,
                false);
    }

    private static QueuedRequest request(String id, String account, int tokens, Set<String> excluded) {
        return new QueuedRequest(id, "stub", CHAT, account, 1, tokens, 0, 0, 60_000, excluded);
    }

    private AdmissionDecision.Granted grantOf(String id) {
        return (AdmissionDecision.Granted)
                queue.offer(request(id, "a", 10, Set.of()), 0).get(0);
    }

    // If idle time accumulated as credit, an account that becomes backlogged again would be served alone until its
    // counter
    // catches up with the others.
    @ParameterizedTest
    @CsvSource({"1000, 0, 1000", "1000, 2000, 2000", "0, 0, 0"})
    void counterOfIdleAccountIsRaisedToLowestWaitingOne(double busyTokens, double ownTokens, double expectedTokens) {
        VirtualTokenCounters counters = new VirtualTokenCounters();
        counters.enqueued("returning", 1);
        counters.charge("returning", 1, ownTokens);
        counters.dequeued("returning");
        counters.enqueued("busy", 1);
        counters.charge("busy", 1, busyTokens - counters.tokens("busy"));
        counters.enqueued("returning", 1);
        assertThat(counters.tokens("returning")).isEqualTo(expectedTokens);
    }

    // An account that fills the queue must not cause the requests of other accounts of the same tier to be shed.
    @Test
    void fullQueueIsSharedWithinTheLowestTier() {
        queue.setUpstreams(List.of(engine("x", 1)), 0);
        grantOf("running");
        for (int number = 0; number < 4; number++) {
            assertThat(queue.offer(request("a" + number, "a", 10, Set.of()), 0)).isEmpty();
        }
        assertThat(shedBy("b0", "b")).isEqualTo("a3");
        assertThat(shedBy("b1", "b")).isEqualTo("a2");
        assertThat(shedBy("b2", "b")).isEqualTo("b2");
        assertThat(shedBy("a9", "a")).isEqualTo("a9");
    }

    private String shedBy(String id, String account) {
        AdmissionDecision.Refused refused = (AdmissionDecision.Refused)
                queue.offer(request(id, account, 10, Set.of()), 0).get(0);
        assertThat(refused.code()).isEqualTo(ErrorCode.SHED);
        return refused.requestId();
    }

    // A request that excludes every upstream must be refused at once instead of waiting until its deadline.
    @Test
    void requestThatExcludesAllUpstreamsIsRefused() {
        queue.setUpstreams(List.of(engine("x", 1)), 0);
        AdmissionDecision.Refused refused = (AdmissionDecision.Refused)
                queue.offer(request("r", "a", 10, Set.of("x")), 0).get(0);
        assertThat(refused.code()).isEqualTo(ErrorCode.NO_UPSTREAM);
    }

    // A new shard owner must not grant slots that requests dispatched by its predecessor still use.
    @Test
    void restoredSlotsCountBeforeTheFirstGrant() {
        assertThat(queue.offer(request("early", "a", 10, Set.of()), 0)).isEmpty();
        queue.restoreSlotsInUse(List.of(new SlotInUse("old-1", "r1", "x"), new SlotInUse("old-1", "r1", "x")), 0);
        assertThat(queue.setUpstreams(List.of(engine("x", 1)), 0)).isEmpty();
        assertThat(queue.release("old-1", DONE, 0)).hasSize(1);
        assertThat(queue.slotsInUse("x")).isEqualTo(1);
    }

    // After a lost grant, the repeated offer must not occupy a second slot. After a failed upstream, the request must
    // get
    // a slot elsewhere and free the old one.
    @Test
    void repeatedOfferRepeatsTheGrantUnlessItsUpstreamFailed() {
        queue.setUpstreams(List.of(engine("x", 1), engine("y", 1)), 0);
        AdmissionDecision.Granted first = grantOf("r");
        assertThat(grantOf("r")).isEqualTo(first);
        assertThat(queue.slotsInUse()).isEqualTo(1);
        String failed = first.grant().upstream().id();
        AdmissionDecision.Granted second = (AdmissionDecision.Granted)
                queue.offer(request("r", "a", 10, Set.of(failed)), 0).get(0);
        assertThat(second.grant().upstream().id()).isNotEqualTo(failed);
        assertThat(queue.slotsInUse(failed)).isEqualTo(0);
    }

    // A slot whose release message was lost must be reclaimed instead of staying in use indefinitely.
    @Test
    void slotWithoutReleaseIsReclaimed() {
        queue.setUpstreams(List.of(engine("x", 1)), 0);
        grantOf("r");
        long reclaimMs = 60_000 + DispatchSettings.DEFAULT.slotGraceMs();
        assertThat(queue.nextDispatchMs(0)).hasValue(reclaimMs);
        queue.dispatch(reclaimMs - 1);
        assertThat(queue.slotsInUse()).isEqualTo(1);
        queue.dispatch(reclaimMs);
        assertThat(queue.slotsInUse()).isEqualTo(0);
    }

    // While a higher tier needs about all slots, a lower tier must not take the last free one. The reserve must end
    // when
    // the demand does.
    @Test
    void slotsAreReservedForHigherTiers() {
        RequestClass high = new RequestClass("question", Tier.TIER_0, 60_000, 1_000, 0);
        queue.setUpstreams(List.of(engine("x", 2)), 0);
        for (int number = 0; number < 8; number++) {
            QueuedRequest request = new QueuedRequest("q" + number, "stub", high, "a", 1, 10, 10, 0, 60_000, Set.of());
            AdmissionDecision.Granted granted =
                    (AdmissionDecision.Granted) queue.offer(request, 0).get(0);
            SlotOutcome outcome = new SlotOutcome(SlotResult.COMPLETED, 10, 10, 50, 2_000);
            queue.release(granted.grant().slotId(), outcome, 0);
        }
        assertThat(queue.offer(request("low", "a", 10, Set.of()), 0)).isEmpty();
        assertThat(queue.nextDispatchMs(0)).hasValue(100);
        assertThat(queue.dispatch(50_000)).hasSize(1);
    }
}
