package org.cranberrybend.router.admit;

import java.util.Locale;
import java.util.regex.Pattern;

/** Text of callers in error messages: only what looks like a name or path and cannot contain a key. */
public final class SafeText {
    private static final Pattern SAFE = Pattern.compile("[A-Za-z0-9._/-]{1,63}");

    private SafeText() {}

    /** Returns the text, or an ellipsis if it may hold a key or a text of the caller. */
    public static String of(String text) {
        boolean safe =
                SAFE.matcher(text).matches() && !text.toLowerCase(Locale.ROOT).contains("cbk");
        return safe ? text : "...";
    }
}
