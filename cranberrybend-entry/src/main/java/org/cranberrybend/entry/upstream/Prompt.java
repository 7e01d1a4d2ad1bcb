package org.cranberrybend.entry.upstream;

import java.util.List;
import org.cranberrybend.core.routing.RendezvousHash;

/**
 * The prompt of a request to a model engine, as a sequence of parts. The last part belongs to the request or its
 * session; the parts before it form the prefix that other prompts may share.
 *
 * @param parts parts; empty for a request to a plain service
 */
public record Prompt(List<Part> parts) {
    /** Value for a request without a prompt. */
    public static final Prompt NONE = new Prompt(List.of());

    /**
     * A part of a prompt.
     *
     * @param id identifier of the content; equal in all requests with this part
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

    /**
     * Returns the parts that other prompts may share. A single part counts as shared, since there is no other to hash.
     */
    private List<Part> sharedPrefix() {
        return parts.size() > 1 ? parts.subList(0, parts.size() - 1) : parts;
    }

    /** Returns the parts that requests of other sessions may have, too; the last part belongs to this one alone. */
    public List<Part> partsOfOthers() {
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }

    /** Returns a key that is equal for prompts with the same shared prefix; empty without a prompt. */
    public String sharedPrefixKey() {
        StringBuilder key = new StringBuilder();
        sharedPrefix().forEach(part -> key.append(part.id()).append('/'));
        return key.toString();
    }

    /** Returns a hash of the shared prefix that is equal in all instances. */
    public long sharedPrefixHash() {
        return RendezvousHash.hash("prefix", sharedPrefixKey());
    }

    /** Returns the length of the shared prefix in tokens; 0 for a prompt with a single part. */
    public int sharedPrefixTokens() {
        return parts.size() > 1 ? sharedPrefix().stream().mapToInt(Part::tokens).sum() : 0;
    }

    /** Returns the length of the last part in tokens, which are counted as not in the prefix cache of an engine. */
    public int uniqueTokens() {
        return parts.isEmpty() ? 0 : parts.get(parts.size() - 1).tokens();
    }
}
