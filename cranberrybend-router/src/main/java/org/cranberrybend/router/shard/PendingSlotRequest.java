package org.cranberrybend.router.shard;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.admission.SlotGrant;
import org.cranberrybend.core.error.ErrorCode;

/** Replies of shard owners to one request that waits for a slot at this entry router. */
final class PendingSlotRequest {
    private final BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();

    /** Reply of a shard owner. */
    sealed interface Reply {
        /** A slot was granted. */
        record Granted(SlotGrant grant) implements Reply {}

        /** The request was refused. */
        record Refused(ErrorCode code, long retryAfterMs) implements Reply {}

        /** The queried member does not own the shard. */
        record Moved() implements Reply {}
    }

    void add(Reply reply) {
        replies.add(reply);
    }

    /** Waits for the next reply; returns null if none arrives within the given time. */
    Reply poll(long waitMs) throws InterruptedException {
        return replies.poll(waitMs, TimeUnit.MILLISECONDS);
    }
}
