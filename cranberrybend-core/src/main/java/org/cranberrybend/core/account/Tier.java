package org.cranberrybend.core.account;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Service tier of a request class. Tier 0 is the highest and is shed last. */
public enum Tier {
    TIER_0,
    TIER_1,
    TIER_2,
    TIER_3;

    /** Returns the tier with the given number, 0 to 3. */
    @JsonCreator
    public static Tier of(int number) {
        Tier[] all = values();
        if (number < 0 || number >= all.length) {
            throw new IllegalArgumentException("tier must be between 0 and " + (all.length - 1) + ": " + number);
        }
        return all[number];
    }

    /** Returns the number of this tier, 0 for the highest. */
    @JsonValue
    public int number() {
        return ordinal();
    }

    /** Returns whether this tier is higher than the other one. */
    public boolean outranks(Tier other) {
        return ordinal() < other.ordinal();
    }
}
