package org.cranberrybend.router.admit;

import java.util.Locale;
import java.util.regex.Pattern;

/** Restricts caller-provided text in error messages to names and paths that cannot contain an API key. */
public final class TextSanitizer {
    private static final Pattern SAFE_PATTERN = Pattern.compile("[A-Za-z0-9._/-]{1,63}");

    private TextSanitizer() {}

    /** Returns the text, or an ellipsis if it may contain an API key or is not a plain name or path. */
    public static String sanitize(String text) {
        boolean safe = SAFE_PATTERN.matcher(text).matches()
                && !text.toLowerCase(Locale.ROOT).contains("cbk");
        return safe ? text : "...";
    }
}
