package io.rosemarybeam.decision.batch;

/**
 * The longest text that an item can have, by what its request asked for.
 *
 * <p>Load pattern: an endpoint that sends events without end. Whatever exceeds the limit is a fault of an endpoint, never a
 * property of the item: the text is generated again elsewhere. Immutable and safe for use by several threads.
 *
 * @param events maximum number of events, each of which has at least one token
 * @param bytes maximum length of the text, in bytes
 */
public record TextLimit(long events, long bytes) {
    /** Length above which a text does not fit into a page of results, in bytes; the platform reads one megabyte at most. */
    private static final long MAXIMUM_BYTES = 900_000;

    /** Number of events that is allowed if the request does not state fewer; the longest outputs have 128 K tokens. */
    private static final long MAXIMUM_EVENTS = 131_072;

    /** Length that is allowed whatever the number of tokens, in bytes; the longest event of a deployment has 2,100 bytes. */
    private static final long BASE_BYTES = 65_536;

    /** Length of the text of a token, in bytes. Events have some hundred bytes, and one token at the least. */
    private static final long BYTES_PER_TOKEN = 1_024;

    /** Checks that both limits are positive. */
    public TextLimit {
        if (events < 1 || bytes < 1) {
            throw new IllegalArgumentException("a limit of " + events + " events and " + bytes + " bytes");
        }
    }

    /**
     * Returns the limit of a text.
     *
     * @param maximumTokens maximum number of its tokens; 0 or less if the request does not state it
     * @return the limit, which is never above that of a text with an unknown number of tokens
     */
    public static TextLimit ofTokens(long maximumTokens) {
        long tokens = maximumTokens <= 0 ? MAXIMUM_EVENTS : Math.min(maximumTokens, MAXIMUM_EVENTS);
        return new TextLimit(tokens, Math.min(MAXIMUM_BYTES, BASE_BYTES + tokens * BYTES_PER_TOKEN));
    }

    /**
     * Returns whether a text of this length is possible.
     *
     * @param eventCount number of its events
     * @param byteCount its length, in bytes
     * @return false if an endpoint has sent more than the request asked for
     */
    public boolean allows(long eventCount, long byteCount) {
        return eventCount <= events && byteCount <= bytes;
    }
}
