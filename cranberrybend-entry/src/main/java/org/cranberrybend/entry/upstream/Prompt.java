package org.cranberrybend.entry.upstream;

import java.util.List;
import org.cranberrybend.core.quarantine.PartFingerprint;
import org.cranberrybend.core.quarantine.PartFingerprints;
import org.cranberrybend.core.routing.RendezvousHash;

/**
 * The prompt of a request to a model engine, as a sequence of parts. The last part belongs to the request or its
 * session; the parts before it form the prefix that other prompts may share.
 *
 * <p>Only what is needed of the parts is kept, since each request in progress has a prompt and a caller may send some
 * thousand parts: with objects for each of them, 400 such requests filled the heap.
 *
 * @param sharedPrefixHash hash of the shared prefix that is equal in all instances
 * @param sharedPrefixTokens length of the shared prefix in tokens; 0 for a prompt with a single part
 * @param uniqueTokens length of the last part in tokens, which are counted as not in the prefix cache of an engine; 0
 *     without a prompt
 * @param partsOfOthers the parts that requests of other sessions may have, too; the last part belongs to this one alone
 * @param isEmpty whether there is no prompt, as for a request to a plain service
 */
public record Prompt(
        long sharedPrefixHash,
        int sharedPrefixTokens,
        int uniqueTokens,
        PartFingerprints partsOfOthers,
        boolean isEmpty) {
    /** Value for a request without a prompt. */
    public static final Prompt NONE = of("", List.of());

    /**
     * A part of a prompt.
     *
     * @param id identifier of the content; equal in all requests with this part
     * @param tokens length in tokens
     */
    public record Part(String id, int tokens) {}

    /** Returns the prompt of a request to a service. */
    public static Prompt of(String service, List<Part> parts) {
        int last = parts.size() - 1;
        // A single part counts as shared in the hash, since there is no other to hash.
        List<Part> hashed = last > 0 ? parts.subList(0, last) : parts;
        List<Part> others = parts.isEmpty() ? parts : parts.subList(0, last);
        long[] fingerprints = others.stream()
                .mapToLong(part -> PartFingerprint.of(service, part.id()).value())
                .toArray();
        return new Prompt(
                RendezvousHash.hash("prefix", key(hashed)),
                others.stream().mapToInt(Part::tokens).sum(),
                parts.isEmpty() ? 0 : parts.get(last).tokens(),
                new PartFingerprints(fingerprints),
                parts.isEmpty());
    }

    private static String key(List<Part> parts) {
        StringBuilder key = new StringBuilder();
        parts.forEach(part -> key.append(part.id()).append('/'));
        return key.toString();
    }

    /** Returns the length of all parts in tokens. */
    public int tokens() {
        return sharedPrefixTokens + uniqueTokens;
    }
}
