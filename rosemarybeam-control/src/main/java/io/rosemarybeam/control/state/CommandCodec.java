package io.rosemarybeam.control.state;

import java.util.List;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.wire.MessageCodec;

/** Encodes commands for the replicated log. Stateless and safe for use by several threads. */
public final class CommandCodec {
    /** The position of a class is its number in the log, so classes may only be appended. */
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
     * @param leaderTime current leader time, in milliseconds
     * @param command the command
     * @return the entry for the log
     */
    public static byte[] encode(long leaderTime, Command command) {
        int kind = KINDS.indexOf(command.getClass());
        return MessageCodec.encode(new Encoded(leaderTime, kind, MessageCodec.encode((Record) command)));
    }

    /**
     * Decodes a command.
     *
     * @param bytes the entry of the log
     * @return the command with its leader time
     * @throws WireException with {@link ErrorCode#FRAME_INVALID} if the bytes are not a known command
     */
    public static Timed decode(byte[] bytes) {
        Encoded encoded = MessageCodec.decode(bytes, Encoded.class);
        if (encoded.kind < 0 || encoded.kind >= KINDS.size()) {
            throw new WireException(ErrorCode.FRAME_INVALID, "unknown command kind " + encoded.kind);
        }
        return new Timed(encoded.leaderTime, MessageCodec.decode(encoded.body, KINDS.get(encoded.kind)));
    }

    /**
     * A command with the time at which the leader proposed it. Immutable.
     *
     * @param leaderTime current leader time, in milliseconds
     * @param command the command
     */
    public record Timed(long leaderTime, Command command) {}

    /** Encoding of a command in the log. Immutable. */
    record Encoded(long leaderTime, int kind, byte[] body) {}
}
