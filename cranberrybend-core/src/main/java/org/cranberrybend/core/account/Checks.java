package org.cranberrybend.core.account;

import java.util.regex.Pattern;

/** Validation of components in the constructors of configuration records. */
final class Checks {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private Checks() {}

    static void requireName(String field, String value) {
        if (value == null || !NAME.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    field + " must be 1 to 63 characters of a-z, 0-9, '.', '_' and '-': " + value);
        }
    }

    static void requireRange(String field, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(field + " must be between " + least + " and " + most + ": " + value);
        }
    }
}
