package org.cranberrybend.core.quarantine;

import java.util.AbstractList;
import java.util.RandomAccess;

/**
 * The fingerprints of the parts of one prompt, in their order. Immutable.
 *
 * <p>A prompt may have some thousand parts within the limit on the size of a head, and they are kept until the request
 * ends. They are held as numbers, and their objects exist only while they are looked at.
 */
public final class PartFingerprints extends AbstractList<PartFingerprint> implements RandomAccess {
    private final long[] values;

    /** Creates the list from the values of the fingerprints. */
    public PartFingerprints(long[] values) {
        this.values = values.clone();
    }

    @Override
    public PartFingerprint get(int index) {
        return new PartFingerprint(values[index]);
    }

    @Override
    public int size() {
        return values.length;
    }
}
