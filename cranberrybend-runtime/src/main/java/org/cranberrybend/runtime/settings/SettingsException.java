package org.cranberrybend.runtime.settings;

import java.util.List;

/** Thrown if settings cannot be read or are invalid. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final List<String> errors;

    /** Creates the exception with one line per error: its location and what is wrong. */
    public SettingsException(List<String> errors) {
        super(String.join("; ", errors));
        this.errors = List.copyOf(errors);
    }

    /** Returns one line per error. */
    public List<String> errors() {
        return errors;
    }
}
