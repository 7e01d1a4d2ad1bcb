package org.cranberrybend.core.quarantine;

/** What is known of a prompt part that was in progress at a crash. The order is that of growing knowledge. */
public enum Standing {
    /** No request with the part is known to have been answered normally. */
    NEVER_ANSWERED,
    /** A request with the part was answered normally before the crash. */
    ANSWERED_BEFORE,
    /** A request with the part was answered normally after the crash, so the part did not cause it. */
    CLEARED;

    /** Returns whether the part may have caused the crash. */
    public boolean isImplicated() {
        return this != CLEARED;
    }

    /** Returns what two instances know together. */
    public Standing merge(Standing other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
