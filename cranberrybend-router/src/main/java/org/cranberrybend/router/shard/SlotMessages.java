package org.cranberrybend.router.shard;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.cranberrybend.core.account.RequestClass;
import org.cranberrybend.core.account.Tier;
import org.cranberrybend.core.admission.QueuedRequest;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.admission.SlotInUse;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.wire.generated.Envelope;
import org.cranberrybend.wire.generated.SlotCancel;
import org.cranberrybend.wire.generated.SlotGranted;
import org.cranberrybend.wire.generated.SlotRefusal;
import org.cranberrybend.wire.generated.SlotRelease;
import org.cranberrybend.wire.generated.SlotRequest;
import org.cranberrybend.wire.generated.SlotsInUse;
import org.cranberrybend.wire.generated.SlotsInUseQuery;
import org.cranberrybend.wire.node.WireConversions;

/** Conversions between slot requests, grants and releases and their peer messages. */
public final class SlotMessages {
    private static final String MOVED = "moved";

    private SlotMessages() {}

    /** Returns the request for a slot. It carries ages instead of times, since monotonic clocks differ per process. */
    public static Envelope.Builder request(String shardId, QueuedRequest request, long nowMs) {
        RequestClass requestClass = request.requestClass();
        return Envelope.newBuilder()
                .setSlotRequest(SlotRequest.newBuilder()
                        .setShardId(shardId)
                        .setRequestId(request.requestId())
                        .setService(request.service())
                        .setTier(requestClass.tier().number())
                        .setClassName(requestClass.name())
                        .setFirstTokenTargetMs(requestClass.firstTokenTargetMs())
                        .setInterTokenTargetMs(requestClass.interTokenTargetMs())
                        .setGuaranteedShareRatio(requestClass.guaranteedShareRatio())
                        .setClientAccount(request.clientAccount())
                        .setWeightRatio(request.weightRatio())
                        .setPromptTokens(request.promptTokens())
                        .setExpectedOutputTokens(request.expectedOutputTokens())
                        .setAgeMs(nowMs - request.arrivalMs())
                        .setRemainingMs(request.deadlineMs() - nowMs)
                        .addAllExcludedUpstreams(request.excludedUpstreams()));
    }

    /** Returns a received request with its times converted to this process's monotonic clock. */
    public static QueuedRequest queuedRequest(SlotRequest message, long nowMs) {
        RequestClass requestClass = new RequestClass(
                message.getClassName(),
                Tier.of(message.getTier()),
                message.getFirstTokenTargetMs(),
                message.getInterTokenTargetMs(),
                message.getGuaranteedShareRatio());
        return new QueuedRequest(
                message.getRequestId(),
                message.getService(),
                requestClass,
                message.getClientAccount(),
                message.getWeightRatio(),
                message.getPromptTokens(),
                message.getExpectedOutputTokens(),
                nowMs - message.getAgeMs(),
                nowMs + message.getRemainingMs(),
                Set.copyOf(message.getExcludedUpstreamsList()));
    }

    /** Returns the message of a grant. */
    public static Envelope.Builder granted(SlotGrant grant) {
        return Envelope.newBuilder()
                .setSlotGrant(SlotGranted.newBuilder()
                        .setSlotId(grant.slotId())
                        .setRequestId(grant.requestId())
                        .setUpstream(WireConversions.toWire(grant.upstream())));
    }

    /** Returns the grant received from the given shard owner. */
    public static SlotGrant grant(SlotGranted message, String ownerMemberId) {
        return new SlotGrant(
                message.getSlotId(),
                message.getRequestId(),
                WireConversions.fromWire(message.getUpstream()),
                ownerMemberId);
    }

    static Envelope.Builder refused(String requestId, ErrorCode code, long retryAfterMs) {
        return refusal(requestId, code.wireCode(), retryAfterMs);
    }

    static Envelope.Builder moved(String requestId) {
        return refusal(requestId, MOVED, 0);
    }

    private static Envelope.Builder refusal(String requestId, String code, long retryAfterMs) {
        return Envelope.newBuilder()
                .setSlotRefusal(SlotRefusal.newBuilder()
                        .setRequestId(requestId)
                        .setCode(code)
                        .setRetryAfterMs(retryAfterMs));
    }

    static void deliverRefusal(SlotRefusal message, SlotReplyHandler replies) {
        if (message.getCode().equals(MOVED)) {
            replies.moved(message.getRequestId());
        } else {
            ErrorCode code = ErrorCode.valueOf(message.getCode().toUpperCase(Locale.ROOT));
            replies.refused(message.getRequestId(), code, message.getRetryAfterMs());
        }
    }

    /** Returns the message of a release. */
    public static Envelope.Builder release(SlotGrant grant, SlotOutcome outcome) {
        return Envelope.newBuilder()
                .setSlotRelease(SlotRelease.newBuilder()
                        .setSlotId(grant.slotId())
                        .setRequestId(grant.requestId())
                        .setUpstreamId(grant.upstream().id())
                        .setResult(outcome.result().ordinal())
                        .setPromptTokens(outcome.promptTokens())
                        .setOutputTokens(outcome.outputTokens())
                        .setFirstTokenMs(outcome.firstTokenMs())
                        .setTotalMs(outcome.totalMs()));
    }

    /** Returns the outcome of a received release. */
    public static SlotOutcome outcome(SlotRelease message) {
        return new SlotOutcome(
                SlotResult.values()[message.getResult()],
                message.getPromptTokens(),
                message.getOutputTokens(),
                message.getFirstTokenMs(),
                message.getTotalMs());
    }

    static Envelope.Builder cancel(String requestId) {
        return Envelope.newBuilder().setSlotCancel(SlotCancel.newBuilder().setRequestId(requestId));
    }

    static Envelope.Builder slotsInUseQuery(Collection<String> upstreamIds) {
        return Envelope.newBuilder()
                .setSlotsInUseQuery(SlotsInUseQuery.newBuilder().addAllUpstreamIds(upstreamIds));
    }

    static Envelope.Builder slotsInUse(Collection<SlotInUse> slots) {
        SlotsInUse.Builder message = SlotsInUse.newBuilder();
        slots.forEach(slot -> message.addSlots(org.cranberrybend.wire.generated.SlotInUse.newBuilder()
                .setSlotId(slot.slotId())
                .setRequestId(slot.requestId())
                .setUpstreamId(slot.upstreamId())));
        return Envelope.newBuilder().setSlotsInUse(message);
    }

    static List<SlotInUse> slotsInUse(SlotsInUse message) {
        return message.getSlotsList().stream()
                .map(slot -> new SlotInUse(slot.getSlotId(), slot.getRequestId(), slot.getUpstreamId()))
                .toList();
    }
}
