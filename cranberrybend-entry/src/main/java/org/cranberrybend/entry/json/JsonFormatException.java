package org.cranberrybend.entry.json;

/** A text is not JSON, or a field is missing or has another type than expected. The message names the field. */
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
