package org.cranberrybend.controller.configuration;

/**
 * Result of an accepted change or of a successful dry run.
 *
 * @param revision revision after the change
 * @param chainDigest chain digest after the change
 * @param dryRun whether the change was only validated
 */
public record ChangeResult(long revision, String chainDigest, boolean dryRun) {}
