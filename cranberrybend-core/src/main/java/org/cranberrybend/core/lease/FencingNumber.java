package org.cranberrybend.core.lease;

/**
 * Fencing number of a lease, assigned by the platform. A later grant of the same lease has a higher number, so that a
 * resource can reject writes of an earlier lease holder.
 *
 * @param value positive number
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {
    public FencingNumber {
        if (value < 1) {
            throw new IllegalArgumentException("fencing number must be positive: " + value);
        }
    }

    @Override
    public int compareTo(FencingNumber other) {
        return Long.compare(value, other.value);
    }
}
