package org.cranberrybend.entry.check;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** The form in which API keys appear in output, which must not reveal them. */
final class KeyDigest {
    /** 48 bits: a collision among 100,000 keys has a probability below 1 in 50,000. */
    private static final int DIGITS = 12;

    private KeyDigest() {}

    static String of(String key) {
        return "sha256:"
                + Hashing.sha256()
                        .hashString(key, StandardCharsets.UTF_8)
                        .toString()
                        .substring(0, DIGITS);
    }
}
