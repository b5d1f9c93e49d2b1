package io.rosemarybeam.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.consensus.LogMessage.Append;
import io.rosemarybeam.consensus.LogMessage.Envelope;

/**
 * Encodes messages between members of the log, and entries that go to several members only once.
 *
 * <p>Load pattern: a leader sends each entry to all other members, nine on a large deployment, and an entry may have several
 * hundred kilobytes. Confined to one thread.
 */
public final class LogMessageEncoder {
    /** Number of recently encoded appends to remember; members that are equally far behind get equal ones. */
    private static final int REMEMBERED_APPENDS = 4;

    private final Deque<EncodedAppend> recent = new ArrayDeque<>(REMEMBERED_APPENDS);
    private long encodedAppends;

    /**
     * Encodes a message with sender and receiver, like {@link LogMessageCodec#encode}.
     *
     * @param envelope the message with sender and receiver
     * @return the encoded message
     */
    public byte[] encode(Envelope envelope) {
        return envelope.message() instanceof Append append && !append.entries().isEmpty()
                ? LogMessageCodec.encode(envelope, encodeOnce(append))
                : LogMessageCodec.encode(envelope);
    }

    private byte[] encodeOnce(Append append) {
        Optional<EncodedAppend> known =
                recent.stream().filter(encoded -> encoded.append.equals(append)).findFirst();
        if (known.isPresent()) {
            return known.get().body;
        }
        encodedAppends++;
        byte[] body = MessageCodec.encode(append);
        if (recent.size() == REMEMBERED_APPENDS) {
            recent.removeLast();
        }
        recent.addFirst(new EncodedAppend(append, body));
        return body;
    }

    /** Returns the number of appends that were encoded, each counted once however many members got it. */
    long encodedAppends() {
        return encodedAppends;
    }

    /** An append with its encoded form. The array must not be changed. */
    private record EncodedAppend(Append append, byte[] body) {}
}
