package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.rosemarybeam.consensus.LogMessage.Envelope;

/**
 * Messages that must not be sent before the state that they depend on is durable.
 *
 * <p>Invariant: messages are released in the order in which they were added, except that a message which requires a later
 * entry does not delay those added after it. Confined to the thread of the log.
 */
final class DeferredMessages {
    private final List<DeferredMessage> deferred = new ArrayList<>();

    /** A message and the last entry that must be durable before it is sent. Immutable. */
    private record DeferredMessage(long requiredIndex, Envelope envelope) {}

    void add(long requiredIndex, Envelope envelope) {
        deferred.add(new DeferredMessage(requiredIndex, envelope));
    }

    void clear() {
        deferred.clear();
    }

    boolean hasReleasable(long durableIndex) {
        return deferred.stream().anyMatch(message -> message.requiredIndex <= durableIndex);
    }

    void release(long durableIndex, Consumer<Envelope> send) {
        List<DeferredMessage> remaining = new ArrayList<>();
        for (DeferredMessage message : deferred) {
            if (message.requiredIndex <= durableIndex) {
                send.accept(message.envelope);
            } else {
                remaining.add(message);
            }
        }
        deferred.clear();
        deferred.addAll(remaining);
    }
}
