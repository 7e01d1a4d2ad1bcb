package org.cranberrybend.core.retry;

/**
 * How much of a streamed answer was delivered to the caller.
 *
 * @param tokens tokens delivered, one per event with text
 * @param characters characters delivered, in UTF-16 code units
 */
public record StreamPosition(long tokens, long characters) {
    /** The position before the first token. */
    public static final StreamPosition START = new StreamPosition(0, 0);

    /** Returns the position after one more token. */
    public StreamPosition advance(String tokenText) {
        return new StreamPosition(tokens + 1, characters + tokenText.length());
    }

    /**
     * Returns whether the total reported at the end of a stream agrees with what was delivered. A resumed stream whose
     * total differs repeated or skipped tokens.
     *
     * @param completionTokens total of the whole answer, including the tokens delivered before a resume
     */
    public boolean matchesTotal(long completionTokens) {
        return completionTokens == tokens;
    }
}
