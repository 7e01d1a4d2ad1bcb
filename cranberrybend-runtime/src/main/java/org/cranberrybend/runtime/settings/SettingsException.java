package org.cranberrybend.runtime.settings;

import java.util.List;

/** Settings cannot be read or are invalid. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final List<String> faults;

    /** Creates the exception with one line per fault: path, what is wrong, allowed range. */
    public SettingsException(List<String> faults) {
        super(String.join("; ", faults));
        this.faults = List.copyOf(faults);
    }

    /** Returns one line per fault. */
    public List<String> faults() {
        return faults;
    }
}
