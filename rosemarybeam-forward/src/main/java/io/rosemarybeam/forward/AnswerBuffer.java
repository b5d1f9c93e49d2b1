package io.rosemarybeam.forward;

import java.io.ByteArrayOutputStream;

import io.rosemarybeam.common.collection.ByteBudget;

/**
 * The body of an answer that is buffered until it is complete.
 *
 * <p>Load pattern: a faulty endpoint that answers many requests at once with bodies without end. Neither a single answer nor all
 * of them together take more than their share of the memory. Confined to one thread.
 */
final class AnswerBuffer {
    /** Longest answer that is buffered, in bytes; typical answers have a few kilobytes. */
    static final int MAXIMUM_BYTES = 1_048_576;

    /** Bytes of each answer that need no budget, so that short answers pass while long ones have used it up. */
    private static final int FREE_BYTES = 16_384;

    private final ByteBudget budget;
    private final boolean keeps;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private long length;
    private long reserved;

    private AnswerBuffer(ByteBudget budget, boolean keeps) {
        this.budget = budget;
        this.keeps = keeps;
    }

    /**
     * Creates an empty buffer.
     *
     * @param budget shared by all answers of the process
     */
    static AnswerBuffer of(ByteBudget budget) {
        return new AnswerBuffer(budget, true);
    }

    /** Creates a buffer that only measures the answer. */
    static AnswerBuffer discarding() {
        return new AnswerBuffer(new ByteBudget(0), false);
    }

    /**
     * Appends a part.
     *
     * @param bytes the part
     * @return false if the answer is too long to be buffered; the part is then not appended
     */
    boolean append(byte[] bytes) {
        long next = length + bytes.length;
        long needed = keeps ? Math.max(0, next - FREE_BYTES) - reserved : 0;
        if (next > MAXIMUM_BYTES || needed > 0 && !budget.reserve(needed)) {
            return false;
        }
        length = next;
        reserved += needed;
        if (keeps) {
            body.write(bytes, 0, bytes.length);
        }
        return true;
    }

    /** Returns the body, and empties the buffer. */
    byte[] take() {
        byte[] bytes = body.toByteArray();
        discard();
        return bytes;
    }

    /** Empties the buffer. */
    void discard() {
        body.reset();
        length = 0;
        budget.release(reserved);
        reserved = 0;
    }
}
