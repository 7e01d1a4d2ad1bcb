package org.cranberrybend.controller.configuration;

import java.util.List;
import org.cranberrybend.core.configuration.EntityChange;

/**
 * An operator's request to change the configuration.
 *
 * @param seenRevision revision on which the operator based the change
 * @param author name of the operator
 * @param changes changes, applied in order and atomically
 * @param dryRun whether the change is only validated
 */
public record ChangeRequest(long seenRevision, String author, List<EntityChange> changes, boolean dryRun) {
    public ChangeRequest {
        changes = List.copyOf(changes);
    }
}
