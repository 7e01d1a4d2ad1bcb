package org.cranberrybend.standins.engine;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The text that every stand-in engine generates for a prompt. Token {@code i} is a function of the prompt and {@code
 * i}, so a stream resumed on another engine continues with the same text, and a test can compute the expected text.
 */
public final class GeneratedText {
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int MIN_DEFAULT_TOKENS = 8;
    private static final int DEFAULT_TOKENS_RANGE = 57;
    /** Words with one to three UTF-8 bytes per character, so that byte offsets and character offsets differ. */
    private static final List<String> WORDS = List.of(
            "jegy",
            "sor",
            "szelvény",
            "kapu",
            "ülőhely",
            "nézőtér",
            "betű",
            "hártya",
            "Einlass",
            "Sitzplatz",
            "Größe",
            "Kasse",
            "gültig",
            "Reihe",
            "Straße",
            "Entwurf",
            "talla",
            "manga",
            "cinturón",
            "niñez",
            "tela",
            "seda",
            "medida",
            "reserva",
            "振袖",
            "帯",
            "袖丈",
            "着付け",
            "ticket",
            "row",
            "gate",
            "seat");

    private final long promptHash;
    private final int promptTokens;

    /** Creates the text for a prompt. */
    public GeneratedText(String prompt) {
        HashCode hash = Hashing.sha256().hashString(prompt, StandardCharsets.UTF_8);
        this.promptHash = hash.asLong();
        this.promptTokens = Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }

    /** Returns the number of prompt tokens: one for every four characters, at least 1. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Returns the number of output tokens of a request that sets no maximum. */
    public int defaultOutputTokens() {
        return MIN_DEFAULT_TOKENS + (int) Long.remainderUnsigned(promptHash, DEFAULT_TOKENS_RANGE);
    }

    /** Returns the token at an index, starting from 0. */
    public String token(int index) {
        long tokenHash = Hashing.murmur3_128((int) promptHash)
                .newHasher()
                .putLong(promptHash)
                .putInt(index)
                .hash()
                .asLong();
        String word = WORDS.get((int) Long.remainderUnsigned(tokenHash, WORDS.size()));
        return index == 0 ? word : " " + word;
    }

    /** Returns the concatenated tokens from an index, inclusive, to another, exclusive. */
    public String text(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i < to; i++) {
            text.append(token(i));
        }
        return text.toString();
    }
}
