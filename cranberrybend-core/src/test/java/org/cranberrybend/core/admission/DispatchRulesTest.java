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

    // Guards against credit saved up while idle: an account that returns would otherwise be served alone for a long
    // time.
    @ParameterizedTest
    @CsvSource({"1000, 0, 1000", "1000, 2000, 2000", "0, 0, 0"})
    void idleAccountIsLiftedToTheLowestWaitingOne(double busyTokens, double ownTokens, double expectedTokens) {
        TokenFairness fairness = new TokenFairness();
        fairness.arrived("returning", 1);
        fairness.charge("returning", 1, ownTokens);
        fairness.left("returning");
        fairness.arrived("busy", 1);
        fairness.charge("busy", 1, busyTokens - fairness.tokens("busy"));
        fairness.arrived("returning", 1);
        assertThat(fairness.tokens("returning")).isEqualTo(expectedTokens);
    }

    // Guards against an account that fills the queue and has the requests of the others refused.
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

    // Guards against a wait for an upstream that the request must not use.
    @Test
    void requestThatExcludesAllUpstreamsIsRefused() {
        queue.setUpstreams(List.of(engine("x", 1)), 0);
        AdmissionDecision.Refused refused = (AdmissionDecision.Refused)
                queue.offer(request("r", "a", 10, Set.of("x")), 0).get(0);
        assertThat(refused.code()).isEqualTo(ErrorCode.NO_UPSTREAM);
    }

    // Guards against a new owner that grants slots which its predecessor's requests still use.
    @Test
    void restoredSlotsCountBeforeTheFirstGrant() {
        assertThat(queue.offer(request("early", "a", 10, Set.of()), 0)).isEmpty();
        queue.restoreSlotsInUse(List.of(new SlotInUse("old-1", "r1", "x"), new SlotInUse("old-1", "r1", "x")), 0);
        assertThat(queue.setUpstreams(List.of(engine("x", 1)), 0)).isEmpty();
        assertThat(queue.release("old-1", DONE, 0)).hasSize(1);
        assertThat(queue.slotsInUse("x")).isEqualTo(1);
    }

    // Guards against a second slot for a request whose grant was lost, and against a slot held for a failed upstream.
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

    // Guards against a slot that is lost for ever with its release message.
    @Test
    void slotWithoutReleaseIsTakenBack() {
        queue.setUpstreams(List.of(engine("x", 1)), 0);
        grantOf("r");
        long reclaimMs = 60_000 + DispatchSettings.DEFAULT.slotGraceMs();
        assertThat(queue.nextActionMs(0)).hasValue(reclaimMs);
        queue.dispatch(reclaimMs - 1);
        assertThat(queue.slotsInUse()).isEqualTo(1);
        queue.dispatch(reclaimMs);
        assertThat(queue.slotsInUse()).isEqualTo(0);
    }

    // Guards against the last free slot taken by a lower tier while a higher one uses about all slots, and against a
    // reserve that outlives the demand.
    @Test
    void lowerTierLeavesTheSlotsThatHigherTiersNeed() {
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
        assertThat(queue.nextActionMs(0)).hasValue(100);
        assertThat(queue.dispatch(50_000)).hasSize(1);
    }
}
