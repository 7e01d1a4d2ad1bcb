package org.cranberrybend.controller.configuration;

import java.util.List;
import org.cranberrybend.core.configuration.EntityChange;

/**
 * An operator's request to change the configuration.
 *
 * @param seenRevision revision on which the operator based the change
 * @param author operator
 * @param changes changes, applied in order and all together
 * @param dryRun whether the change is only checked
 */
public record ChangeRequest(long seenRevision, String author, List<EntityChange> changes, boolean dryRun) {
    public ChangeRequest {
        changes = List.copyOf(changes);
    }
}
