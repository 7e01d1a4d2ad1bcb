package org.cranberrybend.standins.engine;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The text that every stand-in engine generates for a prompt. Token {@code i} depends on the prompt and {@code i} only,
 * so a stream resumed on another engine continues exactly, and a test can compute the expected text.
 */
public final class GeneratedText {
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int MIN_DEFAULT_TOKENS = 8;
    private static final int DEFAULT_TOKENS_RANGE = 57;
    /** Words with one to three bytes per character, so that offsets in bytes and in characters differ. */
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

    /** Returns the count of prompt tokens: one for every four characters. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Returns the count of output tokens of a request without a bound. */
    public int defaultOutputTokens() {
        return MIN_DEFAULT_TOKENS + (int) Long.remainderUnsigned(promptHash, DEFAULT_TOKENS_RANGE);
    }

    /** Returns one token, counted from 0. */
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

    /** Returns the tokens from one index to another, exclusive, as one text. */
    public String text(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i < to; i++) {
            text.append(token(i));
        }
        return text.toString();
    }
}
