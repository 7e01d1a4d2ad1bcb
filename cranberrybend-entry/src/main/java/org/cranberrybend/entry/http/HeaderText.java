package org.cranberrybend.entry.http;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Text of the configuration or of the store in the form in which a head carries it.
 *
 * <p>Heads are read and written as ISO-8859-1, one character for each byte, so that fields of callers and upstreams are
 * forwarded byte by byte. Other text is carried as the bytes of its UTF-8: written as it is, letters beyond Latin-1 would
 * be lost, and different texts would look the same to the receiver. Text that receivers may change or cannot read has no
 * such form: control characters, white space at its ends, which is no part of a field, and unpaired surrogates, which have
 * no UTF-8.
 */
public final class HeaderText {
    private HeaderText() {}

    /** Returns the form of a text in a head; empty if no head can hold it. */
    public static Optional<String> encode(String text) {
        return (isAscii(text) ? Optional.of(text) : utf8(text)).filter(HeaderText::isValue);
    }

    private static boolean isAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) > 0x7f) {
                return false;
            }
        }
        return true;
    }

    /** Returns the bytes of the UTF-8 of a text, one character each; empty if it has an unpaired surrogate. */
    private static Optional<String> utf8(String text) {
        try {
            ByteBuffer bytes = StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(text));
            return Optional.of(StandardCharsets.ISO_8859_1.decode(bytes).toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    private static boolean isValue(String text) {
        boolean trimmed = !text.isEmpty() && text.strip().length() == text.length();
        return trimmed && HeaderRules.isFieldText(text);
    }
}
