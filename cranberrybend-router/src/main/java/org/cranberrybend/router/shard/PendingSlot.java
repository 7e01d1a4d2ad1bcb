package org.cranberrybend.router.shard;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.error.ErrorCode;

/** Answers of owners to one request that waits at this entry router. */
final class PendingSlot {
    private final BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();

    /** An owner's answer. */
    sealed interface Answer {
        /** A slot was granted. */
        record Granted(SlotGrant grant) implements Answer {}

        /** The request was refused. */
        record Refused(ErrorCode code, long retryAfterMs) implements Answer {}

        /** The member asked does not own the shard. */
        record Moved() implements Answer {}
    }

    void add(Answer answer) {
        answers.add(answer);
    }

    /** Waits for the next answer; returns null after the given time. */
    Answer poll(long waitMs) throws InterruptedException {
        return answers.poll(waitMs, TimeUnit.MILLISECONDS);
    }
}
