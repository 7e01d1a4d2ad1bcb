package org.cranberrybend.entry.configuration;

/** What may be done with a request that was sent and got no whole answer. */
public enum RetryRule {
    /** Runs at most once: it is sent again only if it certainly did not run. */
    ONCE {
        @Override
        public boolean allowsAnotherRun(boolean eventsDelivered) {
            return false;
        }
    },
    /** May run more than once. */
    IDEMPOTENT {
        @Override
        public boolean allowsAnotherRun(boolean eventsDelivered) {
            return !eventsDelivered;
        }
    },
    /** A stream that another upstream can continue after its last event. */
    RESUMABLE {
        @Override
        public boolean allowsAnotherRun(boolean eventsDelivered) {
            return true;
        }
    };

    /** Returns whether the request may run again, given whether part of its answer was passed on. */
    public abstract boolean allowsAnotherRun(boolean eventsDelivered);
}
