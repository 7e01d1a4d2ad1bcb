package org.cranberrybend.controller.configuration;

import org.cranberrybend.core.configuration.ConfigurationState;

/**
 * A head as stored, with the accepted configuration that it describes.
 *
 * @param storeRevision revision of the key in the key-value service; 0 if it does not exist
 * @param head decoded head
 * @param state configuration of the head
 */
public record StoredHead(long storeRevision, ConfigurationHead head, ConfigurationState state) {}
