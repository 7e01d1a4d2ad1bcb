package org.cranberrybend.core.quarantine;

import java.util.Map;
import java.util.TreeMap;
import org.cranberrybend.core.routing.RendezvousHash;

/**
 * A crash of an upstream and the prompt parts that were in progress there. Several instances lose requests with the
 * same crash; their records are merged. Merging is commutative and idempotent, so that the instances come to the same
 * record in whatever order they learn from each other.
 *
 * @param upstream run of the upstream that crashed
 * @param crashedAtMs earliest time at which an instance noticed the crash, on the monotonic clock of this process
 * @param standings prompt parts in progress, and what is known of each
 */
public record CrashRecord(UpstreamIncarnation upstream, long crashedAtMs, Map<PartFingerprint, Standing> standings) {
    /** Largest number of prompt parts of one record. */
    public static final int MAX_PARTS = 128;

    /** Odd constant of the golden ratio, which spreads the bits of a product. */
    private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;

    public CrashRecord {
        TreeMap<PartFingerprint, Standing> kept = new TreeMap<>(standings);
        while (kept.size() > MAX_PARTS) {
            kept.pollLastEntry();
        }
        standings = Map.copyOf(kept);
    }

    /** Returns whether a part may have caused the crash. */
    boolean implicates(PartFingerprint part) {
        Standing standing = standings.get(part);
        return standing != null && standing.isImplicated();
    }

    /** Returns a number that is equal for equal knowledge of the crash; the time is left out, as clocks differ. */
    long digest() {
        long upstreamHash = RendezvousHash.hash(upstream.upstreamId(), Long.toString(upstream.startedAtMs()));
        long digest = upstreamHash;
        for (Map.Entry<PartFingerprint, Standing> each : standings.entrySet()) {
            long part = (upstreamHash ^ each.getKey().value()) + each.getValue().ordinal();
            digest += Long.rotateLeft(part * DIGEST_MULTIPLIER, Integer.SIZE) * DIGEST_MULTIPLIER;
        }
        return digest;
    }

    /** Returns the record with the knowledge of another record of the same crash. */
    CrashRecord merge(CrashRecord other) {
        Map<PartFingerprint, Standing> merged = new TreeMap<>(standings);
        other.standings.forEach((part, standing) -> merged.merge(part, standing, Standing::merge));
        return new CrashRecord(upstream, Math.min(crashedAtMs, other.crashedAtMs), merged);
    }

    /** Returns the record with a part that did not cause the crash. */
    CrashRecord withCleared(PartFingerprint part) {
        Map<PartFingerprint, Standing> changed = new TreeMap<>(standings);
        changed.put(part, Standing.CLEARED);
        return new CrashRecord(upstream, crashedAtMs, changed);
    }
}
