package org.cranberrybend.core.retry;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** State of the first request with an Idempotency-Key. */
public enum IdempotencyState {
    /** The key was reserved before the request was sent, and no outcome has been recorded. */
    RESERVED,
    /** The upstream responded. The response is stored unless it was too large or its retention has ended. */
    COMPLETED,
    /** The request was sent and its outcome will never be known. */
    OUTCOME_UNKNOWN;

    /** Returns the state with the given lower-case name. */
    @JsonCreator
    public static IdempotencyState of(String wireName) {
        return valueOf(wireName.toUpperCase(Locale.ROOT));
    }

    /** Returns the lower-case name used in JSON. */
    @JsonValue
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
