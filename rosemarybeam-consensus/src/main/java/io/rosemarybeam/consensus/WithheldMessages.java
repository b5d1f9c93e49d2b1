package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.rosemarybeam.consensus.LogMessage.Envelope;

/**
 * Messages that must not leave before the state that they speak of is durable.
 *
 * <p>Invariant: messages leave in the order in which they were added, except that one that needs a later entry does not hold
 * back those behind it. Confined to the thread of the log.
 */
final class WithheldMessages {
    private final List<Withheld> withheld = new ArrayList<>();

    /** A message and the last entry that must be durable before it leaves. Immutable. */
    private record Withheld(long requiredIndex, Envelope envelope) {}

    void add(long requiredIndex, Envelope envelope) {
        withheld.add(new Withheld(requiredIndex, envelope));
    }

    void clear() {
        withheld.clear();
    }

    boolean hasReleasable(long durableIndex) {
        return withheld.stream().anyMatch(message -> message.requiredIndex <= durableIndex);
    }

    void release(long durableIndex, Consumer<Envelope> send) {
        List<Withheld> kept = new ArrayList<>();
        for (Withheld message : withheld) {
            if (message.requiredIndex <= durableIndex) {
                send.accept(message.envelope);
            } else {
                kept.add(message);
            }
        }
        withheld.clear();
        withheld.addAll(kept);
    }
}
