package org.cranberrybend.entry.configuration;

/** Whether a request that was sent may be retried after a lost or incomplete response or a server error. */
public enum RetryRule {
    /** The request must be executed at most once: it is retried only if it was certainly not executed. */
    ONCE {
        @Override
        public boolean allowsReexecution(boolean eventsForwarded) {
            return false;
        }
    },
    /** The request may be executed more than once, as long as no part of a response was forwarded. */
    IDEMPOTENT {
        @Override
        public boolean allowsReexecution(boolean eventsForwarded) {
            return !eventsForwarded;
        }
    },
    /** The response is a stream that another upstream can resume after the last forwarded event. */
    RESUMABLE {
        @Override
        public boolean allowsReexecution(boolean eventsForwarded) {
            return true;
        }
    };

    /**
     * Returns whether a request that may have been executed may be executed again.
     *
     * @param eventsForwarded whether part of its response was sent to the caller
     */
    public abstract boolean allowsReexecution(boolean eventsForwarded);
}
