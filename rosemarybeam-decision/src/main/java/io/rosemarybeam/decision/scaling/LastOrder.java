package io.rosemarybeam.decision.scaling;

/**
 * The last order for a replica group. Immutable and safe for use by several threads.
 *
 * @param count the ordered number of replicas
 * @param sentAt monotonic time at which it was sent, in milliseconds
 * @param outcome what became of it
 */
public record LastOrder(int count, long sentAt, Outcome outcome) {
    /** What became of an order. */
    public enum Outcome {
        /** It is being stored or sent; no reply is known. */
        PENDING,
        /** The provider accepted it. */
        ACCEPTED,
        /** The provider refused it, for example for lack of capacity. */
        REFUSED,
        /** It was sent without an answer and may be carried out later. */
        UNANSWERED,
        /** A former leader stored it, and may have sent it. */
        INHERITED,
        /** It was not sent, or the provider took no further calls. */
        NOT_SENT
    }
}
