package org.cranberrybend.entry.request;

/**
 * A part of a prompt.
 *
 * @param id identifier; requests with equal parts name the same
 * @param tokens length in tokens
 */
record PromptPart(String id, int tokens) {}
