package org.cranberrybend.core.lease;

/**
 * Number that the platform gives with a lease; a later grant of the same name has a larger one.
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
