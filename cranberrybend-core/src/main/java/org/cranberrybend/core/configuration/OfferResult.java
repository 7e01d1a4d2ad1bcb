package org.cranberrybend.core.configuration;

/** Result of offering a change set or snapshot to a {@link ConfigurationReplica}. */
public enum OfferResult {
    /** The offered revision is now in force. */
    ACCEPTED,
    /** The offered revision is already in force. */
    DUPLICATE,
    /** Revisions between the accepted and the offered one are missing; a snapshot is needed. */
    GAP,
    /** The offered revision is older than the accepted one and was refused. */
    OLDER,
    /** The offered revision has another history than the accepted one and was refused. */
    DIVERGED
}
