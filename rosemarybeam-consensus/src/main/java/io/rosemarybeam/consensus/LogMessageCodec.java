package io.rosemarybeam.consensus;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.consensus.LogMessage.Envelope;

/** Encodes and decodes messages between members of the log. Stateless and safe for use by several threads. */
public final class LogMessageCodec {
    private LogMessageCodec() {}

    /**
     * Encodes a message with sender and receiver.
     *
     * @param envelope the message with sender and receiver
     * @return the encoded message
     */
    public static byte[] encode(Envelope envelope) {
        return encode(envelope, MessageCodec.encode((Record) envelope.message()));
    }

    /** Encodes sender and receiver of a message whose encoded form is known. */
    static byte[] encode(Envelope envelope, byte[] body) {
        return MessageCodec.encode(new Encoded(envelope.from(), envelope.to(), kind(envelope.message()), body));
    }

    /**
     * Decodes a message with sender and receiver.
     *
     * @param bytes the encoded message
     * @return the message
     * @throws WireException with {@link ErrorCode#FRAME_INVALID} if the bytes are not a valid message
     */
    public static Envelope decode(byte[] bytes) {
        Encoded encoded = MessageCodec.decode(bytes, Encoded.class);
        LogMessage message = MessageCodec.decode(encoded.body, messageClass(encoded.kind));
        return new Envelope(encoded.from, encoded.to, message);
    }

    private static int kind(LogMessage message) {
        return switch (message) {
            case LogMessage.RequestVote ignored -> 1;
            case LogMessage.Vote ignored -> 2;
            case LogMessage.Append ignored -> 3;
            case LogMessage.Appended ignored -> 4;
            case LogMessage.SnapshotPart ignored -> 5;
            case LogMessage.SnapshotProgress ignored -> 6;
            case LogMessage.TimeoutNow ignored -> 7;
        };
    }

    private static Class<? extends LogMessage> messageClass(int kind) {
        return switch (kind) {
            case 1 -> LogMessage.RequestVote.class;
            case 2 -> LogMessage.Vote.class;
            case 3 -> LogMessage.Append.class;
            case 4 -> LogMessage.Appended.class;
            case 5 -> LogMessage.SnapshotPart.class;
            case 6 -> LogMessage.SnapshotProgress.class;
            case 7 -> LogMessage.TimeoutNow.class;
            default -> throw new WireException(ErrorCode.FRAME_INVALID, "unknown log message kind " + kind);
        };
    }

    /** Wire format of a message: the kind selects the class of the body. Immutable. */
    record Encoded(MemberId from, MemberId to, int kind, byte[] body) {}
}
