package org.cranberrybend.entry.port;

import java.util.Optional;

/**
 * A change of one key.
 *
 * @param key key
 * @param revision revision of the change
 * @param item item after the change; empty if the key was deleted
 */
public record StoreChange(String key, long revision, Optional<StoreItem> item) {}
