package org.cranberrybend.core.engine;

/**
 * A level that follows its samples, rising and falling at different rates. Between samples it approaches a given value,
 * because an old level says little about the present.
 */
final class SmoothedLevel {
    private final double riseRatio;
    private final double fallRatio;
    private final double decayMs;
    private double level;
    private long updatedMs;
    private boolean known;

    SmoothedLevel(double riseRatio, double fallRatio, double decayMs) {
        this.riseRatio = riseRatio;
        this.fallRatio = fallRatio;
        this.decayMs = decayMs;
    }

    void add(double sample, double restingLevel, long nowMs) {
        double current = known ? at(restingLevel, nowMs) : sample;
        level = current + (sample > current ? riseRatio : fallRatio) * (sample - current);
        updatedMs = nowMs;
        known = true;
    }

    /** Returns the level, moved towards the resting level by its age; the resting level before the first sample. */
    double at(double restingLevel, long nowMs) {
        if (!known) {
            return restingLevel;
        }
        double weight = Math.exp(-Math.max(0, nowMs - updatedMs) / decayMs);
        return restingLevel + weight * (level - restingLevel);
    }

    boolean isKnown() {
        return known;
    }
}
