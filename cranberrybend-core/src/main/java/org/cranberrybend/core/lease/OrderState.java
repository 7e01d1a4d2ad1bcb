package org.cranberrybend.core.lease;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** State of an {@link OrderIntent}. */
public enum OrderState {
    /** The intent is recorded; the order was certainly not sent. */
    INTENDED,
    /** The order may have been sent. */
    SENT,
    /** The platform has accepted the order. */
    CONFIRMED,
    /** The order was not sent, or the platform had not accepted it when it could no longer arrive. */
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

    /** Returns whether the state is final. */
    public boolean isFinal() {
        return this == CONFIRMED || this == ABANDONED;
    }

    /** Returns whether an intent in this state may change to the given one. */
    public boolean canChangeTo(OrderState next) {
        return switch (this) {
            case INTENDED -> next == SENT || next == ABANDONED;
            case SENT -> next.isFinal();
            case CONFIRMED, ABANDONED -> false;
        };
    }
}
