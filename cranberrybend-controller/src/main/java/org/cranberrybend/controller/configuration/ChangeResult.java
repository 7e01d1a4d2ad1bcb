package org.cranberrybend.controller.configuration;

/**
 * An accepted change, or one that would be accepted.
 *
 * @param revision revision after the change
 * @param chainDigest chain digest after the change
 * @param dryRun whether the change was only checked
 */
public record ChangeResult(long revision, String chainDigest, boolean dryRun) {}
