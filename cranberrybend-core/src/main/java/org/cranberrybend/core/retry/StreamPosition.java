package org.cranberrybend.core.retry;

/**
 * How much of a streamed response was delivered to the caller.
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
     * Returns whether the total reported at the end of a stream matches the delivered tokens. If the total of a resumed
     * stream differs, tokens were repeated or skipped.
     *
     * @param completionTokens total of the whole response, including the tokens delivered before the stream was resumed
     */
    public boolean matchesTotal(long completionTokens) {
        return completionTokens == tokens;
    }
}
