package org.cranberrybend.core.quarantine;

import java.util.Collection;
import java.util.Set;

/**
 * The refusal of requests whose prompts have certain parts.
 *
 * @param parts parts; a request is refused if it has all of them, because their crashes are the same
 * @param crashes number of crashes that the parts explain
 * @param blockedUntilMs monotonic time until which all such requests are refused; afterwards single ones are admitted
 *     as probes
 * @param evidence crashes that the parts explain
 */
public record Quarantine(
        Set<PartFingerprint> parts, int crashes, long blockedUntilMs, Set<UpstreamIncarnation> evidence) {
    public Quarantine {
        parts = Set.copyOf(parts);
        evidence = Set.copyOf(evidence);
    }

    /** Returns whether a prompt with the given parts is refused. */
    boolean covers(Collection<PartFingerprint> promptParts) {
        return promptParts.containsAll(parts);
    }
}
