package org.cranberrybend.entry.json;

/** Signals malformed JSON, or a field that is missing or has an unexpected type. The message names the field. */
public final class JsonFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public JsonFormatException(String message) {
        super(message);
    }

    /** Creates the exception with its cause. */
    public JsonFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
