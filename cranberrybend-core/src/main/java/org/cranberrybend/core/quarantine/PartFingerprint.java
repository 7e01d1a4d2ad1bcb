package org.cranberrybend.core.quarantine;

import java.util.HexFormat;
import org.cranberrybend.core.routing.RendezvousHash;

/**
 * Identifies a part of a prompt within its service. Callers choose the identifiers of parts, which may be long; the
 * fingerprint has a fixed size and does not reveal them.
 *
 * @param value hash of the service and the identifier of the part
 */
public record PartFingerprint(long value) implements Comparable<PartFingerprint> {
    private static final int HEXADECIMAL = 16;

    /** Returns the fingerprint of a part in prompts to a service. */
    public static PartFingerprint of(String service, String partId) {
        return new PartFingerprint(RendezvousHash.hash(service, partId));
    }

    /**
     * Parses the text of {@link #toString()}.
     *
     * @throws NumberFormatException if the text is no fingerprint
     */
    public static PartFingerprint parse(String text) {
        return new PartFingerprint(Long.parseUnsignedLong(text, HEXADECIMAL));
    }

    @Override
    public int compareTo(PartFingerprint other) {
        return Long.compareUnsigned(value, other.value);
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(value);
    }
}
