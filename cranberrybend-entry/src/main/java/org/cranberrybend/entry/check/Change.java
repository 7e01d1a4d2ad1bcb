package org.cranberrybend.entry.check;

import java.util.List;

/**
 * A difference between two versions of the configuration.
 *
 * @param kind what happened to the entry
 * @param subject kind and name of the entry
 * @param details the fields that differ; empty unless the entry was changed
 */
public record Change(Kind kind, String subject, List<String> details) {
    /** What happened to an entry. */
    public enum Kind {
        ADDED,
        REMOVED,
        CHANGED
    }

    public Change {
        details = List.copyOf(details);
    }
}
