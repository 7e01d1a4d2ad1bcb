package org.cranberrybend.core.configuration;

/** Result of offering a change set or snapshot to a {@link ConfigurationReplica}. */
public enum OfferResult {
    /** The offered revision was accepted. */
    ACCEPTED,
    /** The offered revision is the one that was already accepted. */
    DUPLICATE,
    /** Revisions between the accepted and the offered one are missing, so a snapshot is needed. */
    GAP,
    /** The offered revision is older than the accepted one and was refused. */
    OLDER,
    /** The offered revision has a different history from the accepted one and was refused. */
    DIVERGED
}
