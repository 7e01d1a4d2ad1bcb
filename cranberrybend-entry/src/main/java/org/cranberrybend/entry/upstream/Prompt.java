package org.cranberrybend.entry.upstream;

import java.util.List;

/**
 * The prompt of a generation: parts in order, of which the last one belongs to the request or its session.
 *
 * @param parts parts; empty for a request to a plain service
 */
public record Prompt(List<Part> parts) {
    /** The prompt of a request that has none. */
    public static final Prompt NONE = new Prompt(List.of());

    /**
     * A part of a prompt.
     *
     * @param id identifier; requests with equal parts name the same
     * @param tokens length in tokens
     */
    public record Part(String id, int tokens) {}

    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns whether there is no prompt. */
    public boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns the parts that other requests may have too; a single part is all there is to go by. */
    private List<Part> sharedParts() {
        return parts.size() > 1 ? parts.subList(0, parts.size() - 1) : parts;
    }

    /** Returns what prompts with the same shared parts have in common; empty without a prompt. */
    public String sharedKey() {
        StringBuilder key = new StringBuilder();
        sharedParts().forEach(part -> key.append(part.id()).append('/'));
        return key.toString();
    }

    /** Returns the length of the shared parts in tokens. */
    public int sharedTokens() {
        return parts.size() > 1 ? sharedParts().stream().mapToInt(Part::tokens).sum() : 0;
    }

    /** Returns the tokens that are certainly not in an engine's cache. */
    public int ownTokens() {
        return parts.isEmpty() ? 0 : parts.get(parts.size() - 1).tokens();
    }
}
