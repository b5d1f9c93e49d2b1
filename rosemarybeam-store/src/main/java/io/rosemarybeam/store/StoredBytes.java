package io.rosemarybeam.store;

/**
 * An estimate of what stored submissions take on the heap, and of what their open items will add. Immutable.
 *
 * @param bytes size of the submissions with their results and partial texts, in bytes
 * @param partialTextBytes the part of it that belongs to texts of items without a result, in bytes
 * @param openItems items without a result, of submissions that have not ended
 * @param results number of results
 * @param resultBytes the part of the size that belongs to results, in bytes
 */
record StoredBytes(long bytes, long partialTextBytes, long openItems, long results, long resultBytes) {
    /** The size of no submission. */
    static final StoredBytes NONE = new StoredBytes(0, 0, 0, 0, 0);

    /** Returns the size of a submission without results and texts. */
    static StoredBytes ofOpen(long bytes, long items) {
        return new StoredBytes(bytes, 0, items, 0, 0);
    }

    StoredBytes plus(StoredBytes other) {
        return new StoredBytes(
                bytes + other.bytes,
                partialTextBytes + other.partialTextBytes,
                openItems + other.openItems,
                results + other.results,
                resultBytes + other.resultBytes);
    }

    StoredBytes minus(StoredBytes other) {
        return new StoredBytes(
                bytes - other.bytes,
                partialTextBytes - other.partialTextBytes,
                openItems - other.openItems,
                results - other.results,
                resultBytes - other.resultBytes);
    }

    /**
     * Returns the size that is reached if each open item gets a result of the mean size of the stored ones. Items that wait for
     * endpoints add nothing yet, but will when they run.
     */
    long expectedBytes() {
        long meanResultBytes = results == 0 ? 0 : resultBytes / results;
        return bytes + Math.max(0, openItems * meanResultBytes - partialTextBytes);
    }
}
