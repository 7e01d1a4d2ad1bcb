package org.cranberrybend.core.lease;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** State of an {@link OrderIntent}. */
public enum OrderState {
    /** Recorded; the order was certainly not sent. */
    INTENDED,
    /** The order may have been sent. */
    SENT,
    /** The platform has the order. */
    CONFIRMED,
    /** The order was not sent, or was not found at the platform after it could no longer arrive. */
    ABANDONED;

    /** Returns the state with the given lower-case name. */
    @JsonCreator
    public static OrderState of(String wireName) {
        return valueOf(wireName.toUpperCase(Locale.ROOT));
    }

    /** Returns the lower-case name used in JSON. */
    @JsonValue
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns whether the state never changes again. */
    public boolean isFinal() {
        return this == CONFIRMED || this == ABANDONED;
    }

    /** Returns whether an intent in this state may change to the other one. */
    public boolean mayBecome(OrderState next) {
        return switch (this) {
            case INTENDED -> next == SENT || next == ABANDONED;
            case SENT -> next.isFinal();
            case CONFIRMED, ABANDONED -> false;
        };
    }
}
