package org.cranberrybend.router.dispatch;

import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.admission.SlotOutcome;
import org.cranberrybend.core.admission.SlotResult;
import org.cranberrybend.core.routing.Upstream;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.router.route.LinkCharge;

/** A granted slot and the tokens processed in it. Only the first release counts; closing releases it as canceled. */
final class AcquiredSlot implements AutoCloseable {
    private final SlotBroker broker;
    private final SlotGrant grant;
    private final TimeSource timeSource;
    private final LinkCharge linkCharge;
    private final long startMs;
    private long firstTokenMs = -1;
    private long promptTokens;
    private long outputTokens;
    private boolean released;

    AcquiredSlot(SlotBroker broker, SlotGrant grant, TimeSource timeSource, LinkCharge linkCharge) {
        this.broker = broker;
        this.grant = grant;
        this.timeSource = timeSource;
        this.linkCharge = linkCharge;
        this.startMs = timeSource.monotonicMs();
    }

    Upstream upstream() {
        return grant.upstream();
    }

    void setPromptTokens(long tokens) {
        promptTokens = tokens;
    }

    void addOutputTokens(long tokens) {
        if (firstTokenMs < 0) {
            firstTokenMs = timeSource.monotonicMs() - startMs;
        }
        outputTokens += tokens;
    }

    void release(SlotResult result) {
        if (released) {
            return;
        }
        released = true;
        linkCharge.settle(Attempts.estimateLinkBytes(promptTokens, outputTokens));
        long totalMs = timeSource.monotonicMs() - startMs;
        broker.release(grant, new SlotOutcome(result, promptTokens, outputTokens, firstTokenMs, totalMs));
    }

    @Override
    public void close() {
        release(SlotResult.CANCELLED);
    }
}
