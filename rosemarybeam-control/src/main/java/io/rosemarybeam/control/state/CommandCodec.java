package io.rosemarybeam.control.state;

import java.util.List;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.wire.MessageCodec;

/** Encodes commands for the replicated log. Stateless and safe for use by several threads. */
public final class CommandCodec {
    /** The position of a class is its number in the log, so classes are only ever appended. */
    private static final List<Class<? extends Command>> KINDS = List.of(
            Command.AcceptConfiguration.class,
            Command.RegisterEntry.class,
            Command.RemoveEntry.class,
            Command.AnnounceEndpoint.class,
            Command.ChangeWeightVersion.class,
            Command.LeaveEndpoint.class,
            Command.RemoveEndpoint.class,
            Command.Claim.class,
            Command.Outcome.class,
            Command.Crash.class,
            Command.OpenStep.class,
            Command.TakeStep.class,
            Command.CommitSamples.class,
            Command.RecordHandOver.class,
            Command.AcknowledgeHandOver.class,
            Command.PublishWeights.class,
            Command.GrantIssuer.class,
            Command.Expire.class,
            Command.SettleClaims.class);

    private CommandCodec() {}

    /**
     * Encodes a command.
     *
     * @param leaderTime time of the leader, in milliseconds
     * @param command the command
     * @return the bytes
     */
    public static byte[] encode(long leaderTime, Command command) {
        int kind = KINDS.indexOf(command.getClass());
        return MessageCodec.encode(new Encoded(leaderTime, kind, MessageCodec.encode((Record) command)));
    }

    /**
     * Decodes a command.
     *
     * @param bytes the bytes
     * @return the command with its time
     * @throws WireException with {@link ErrorCode#FRAME_INVALID} if the bytes are no command
     */
    public static Timed decode(byte[] bytes) {
        Encoded encoded = MessageCodec.decode(bytes, Encoded.class);
        if (encoded.kind < 0 || encoded.kind >= KINDS.size()) {
            throw new WireException(ErrorCode.FRAME_INVALID, "command kind " + encoded.kind);
        }
        return new Timed(encoded.leaderTime, MessageCodec.decode(encoded.body, KINDS.get(encoded.kind)));
    }

    /**
     * A command with the time that the leader gave it. Immutable.
     *
     * @param leaderTime time of the leader, in milliseconds
     * @param command the command
     */
    public record Timed(long leaderTime, Command command) {}

    /** Form of a command in the log. Immutable. */
    record Encoded(long leaderTime, int kind, byte[] body) {}
}
