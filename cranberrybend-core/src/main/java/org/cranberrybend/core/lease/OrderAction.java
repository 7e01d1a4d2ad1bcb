package org.cranberrybend.core.lease;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Action requested by an upstream order. */
public enum OrderAction {
    START,
    STOP;

    /** Returns the action with the given lower-case name. */
    @JsonCreator
    public static OrderAction of(String wireName) {
        return valueOf(wireName.toUpperCase(Locale.ROOT));
    }

    /** Returns the lower-case name used in JSON. */
    @JsonValue
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
