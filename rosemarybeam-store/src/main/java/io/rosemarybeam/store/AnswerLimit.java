package io.rosemarybeam.store;

import java.util.concurrent.atomic.AtomicLong;

import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.common.wire.OutputBacklog;
import io.rosemarybeam.common.wire.StoreMessage;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.ReadItem;
import io.rosemarybeam.common.wire.StoreMessage.ReadResults;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.WireConnection;

/**
 * Refuses answers to reads while too many bytes wait to be sent, because a leader that was stalled answers all reads that
 * waited in one turn, and each can have 900 kB.
 *
 * <p>Invariant: only reads of results and of item bodies are refused, with {@link Outcome#UNCERTAIN}, after which edges of
 * all releases ask again; a change that was made is always confirmed. Safe for use by several threads.
 */
final class AnswerLimit {
    private final OutputBacklog backlog;
    private final AtomicLong refused = new AtomicLong();

    private AnswerLimit(OutputBacklog backlog) {
        this.backlog = backlog;
    }

    /**
     * Creates a limit.
     *
     * @param backlog the bytes that wait in the process
     * @return the limit
     */
    static AnswerLimit of(OutputBacklog backlog) {
        return new AnswerLimit(backlog);
    }

    void register(Metrics metrics) {
        metrics.computedCounter(
                "store_refused_reads",
                "Reads that were refused because too many bytes waited to be sent.",
                refused::get);
    }

    /**
     * Returns what is sent as the answer to a request.
     *
     * @param request the request
     * @param connection the connection of the caller
     * @param reply the answer of the leader
     * @return the answer, or a refusal if too many bytes wait on the connection or in the process
     */
    StoreReply admit(StoreMessage request, WireConnection connection, StoreReply reply) {
        boolean isLarge = switch (request) {
            case ReadResults ignored ->
                reply.page().filter(page -> !page.results().isEmpty()).isPresent();
            case ReadItem ignored -> reply.content().length > 0;
            default -> false;
        };
        if (!isLarge || (connection.isWritable() && !backlog.isFull())) {
            return reply;
        }
        refused.incrementAndGet();
        return StoreReply.of(Outcome.UNCERTAIN);
    }
}
