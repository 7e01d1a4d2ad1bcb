package org.cranberrybend.entry.json;

import java.util.List;

/** Signals malformed JSON, or a field that is missing or has an unexpected type. The message names the field. */
public final class JsonFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> faults;

    /** Creates the exception. */
    public JsonFormatException(String message) {
        this(List.of(message));
    }

    /** Creates the exception with its cause. */
    public JsonFormatException(String message, Throwable cause) {
        super(message, cause);
        this.faults = List.of(message);
    }

    /** Creates the exception for all faults of a document. The message has the first one, so that log lines stay short. */
    public JsonFormatException(List<String> faults) {
        super(faults.size() == 1 ? faults.get(0) : faults.get(0) + " (first of " + faults.size() + " faults)");
        this.faults = List.copyOf(faults);
    }

    /** Returns the faults that were found; never empty. */
    public List<String> faults() {
        return faults;
    }
}
