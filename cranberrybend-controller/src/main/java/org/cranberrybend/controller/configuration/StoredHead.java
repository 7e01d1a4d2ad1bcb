package org.cranberrybend.controller.configuration;

import org.cranberrybend.core.configuration.ConfigurationState;

/**
 * A stored head with its configuration.
 *
 * @param storeRevision revision of the key in the key-value store; 0 if the key does not exist
 * @param head decoded head
 * @param state configuration of the head, or the accepted one that is about to replace it
 */
public record StoredHead(long storeRevision, ConfigurationHead head, ConfigurationState state) {}
