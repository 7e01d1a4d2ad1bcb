package org.cranberrybend.standins.server;

import java.util.Locale;
import org.cranberrybend.runtime.http.HttpStatusException;

/**
 * Fault of an upstream stand-in.
 *
 * @param mode what it does
 * @param value number whose meaning depends on the mode; negative if absent
 */
public record StandinFault(Mode mode, long value) {
    /** No fault. */
    public static final StandinFault NONE = new StandinFault(Mode.OK, -1);

    /** What a failing upstream does. */
    public enum Mode {
        /** Works. */
        OK,
        /** Ends the process at once. */
        CRASH,
        /** Works slowly; on an engine the value is a factor, on a service a delay in milliseconds. */
        SLOW,
        /** Connections that are open when it is set never deliver data again; new requests wait while it lasts. */
        STALL,
        /** Answers 503 with X-Not-Run; the value bounds the count of requests. */
        REFUSE,
        /** Answers 503 with X-Not-Run and X-Leaving; running requests finish. */
        LEAVING,
        /** Closes the connection after that many tokens of a response; on a service, bytes of the response body. */
        CUT_AFTER_TOKENS,
        /** Runs the request and closes the connection without a response; the value bounds the count of requests. */
        LOSE_REPLY
    }

    /**
     * Reads a fault from its wire form.
     *
     * @throws HttpStatusException with status 400 if the mode is unknown
     */
    public static StandinFault of(String modeName, long value) throws HttpStatusException {
        try {
            return new StandinFault(Mode.valueOf(modeName.toUpperCase(Locale.ROOT)), value);
        } catch (IllegalArgumentException e) {
            throw new HttpStatusException(400, "unknown fault mode: " + modeName);
        }
    }

    /** Returns whether the mode counts requests with its value. */
    boolean hasRequestLimit() {
        return mode == Mode.REFUSE || mode == Mode.LOSE_REPLY;
    }
}
