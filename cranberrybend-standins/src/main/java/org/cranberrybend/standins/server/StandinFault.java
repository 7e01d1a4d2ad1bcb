package org.cranberrybend.standins.server;

import java.util.Locale;
import org.cranberrybend.runtime.http.HttpStatusException;

/**
 * Injected fault of an upstream stand-in.
 *
 * @param mode effect of the fault
 * @param value parameter whose meaning depends on the mode; negative if absent
 */
public record StandinFault(Mode mode, long value) {
    /** No fault. */
    public static final StandinFault NONE = new StandinFault(Mode.OK, -1);

    /** Effect of a fault. */
    public enum Mode {
        /** Operates normally. */
        OK,
        /** Ends the process without a shutdown, shortly after the fault is set. */
        CRASH,
        /** Slows requests down; the value is a factor on an engine and a delay in milliseconds on a service. */
        SLOW,
        /**
         * Stalls the connections that are open when it is set, for good; requests received while
         * it is active stall as well.
         */
        STALL,
        /** Rejects requests with 503 and X-Not-Run; the value limits the number of requests affected. */
        REFUSE,
        /** Rejects requests with 503, X-Not-Run and X-Leaving; in-flight requests complete. */
        LEAVING,
        /** Closes the connection after the given number of tokens of a response; on a service, bytes of the body. */
        CUT_AFTER_TOKENS,
        /** Executes requests and closes the connection without a response; the value limits the number affected. */
        LOSE_REPLY
    }

    /**
     * Parses a fault.
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

    /** Returns whether the value limits the number of requests affected. */
    boolean hasRequestLimit() {
        return mode == Mode.REFUSE || mode == Mode.LOSE_REPLY;
    }
}
