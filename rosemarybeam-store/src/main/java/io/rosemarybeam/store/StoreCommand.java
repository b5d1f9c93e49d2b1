package io.rosemarybeam.store;

import java.util.List;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.common.wire.Submission;

/**
 * A change of the replicated state. Every command may be applied twice without harm, because callers resend.
 *
 * <p>Immutable and safe for use by several threads.
 */
sealed interface StoreCommand {
    /** Kinds in the order of their numbers; a number never changes its meaning. */
    List<Class<? extends StoreCommand>> KINDS = List.of(
            PutConfiguration.class,
            PutVersion.class,
            AcceptSubmission.class,
            ListResults.class,
            CloseSubmission.class,
            ForgetSubmissions.class,
            NameHost.class,
            Retire.class,
            KeepTexts.class);

    /** Replaces the configuration if the version is higher. */
    record PutConfiguration(long version, byte[] text) implements StoreCommand {}

    /** Names a weight version if it is higher. */
    record PutVersion(ModelName model, long version) implements StoreCommand {}

    /** Keeps a submission. */
    record AcceptSubmission(Submission submission, String routeName) implements StoreCommand {}

    /** Lists results of a submission; those of items that are listed already are dropped. */
    record ListResults(SubmissionId submission, List<Submission.Result> results) implements StoreCommand {}

    /** Keeps what items of a submission have generated so far. */
    record KeepTexts(SubmissionId submission, List<StoredSubmission.StoredText> texts) implements StoreCommand {}

    /** Ends a submission. */
    record CloseSubmission(SubmissionId submission) implements StoreCommand {}

    /** Drops ended submissions that nobody may ask for any more. */
    record ForgetSubmissions(List<SubmissionId> submissions) implements StoreCommand {}

    /** Notes the name of a store host. */
    record NameHost(String name, String host) implements StoreCommand {}

    /** Marks a store host as one that is to be emptied. */
    record Retire(String name) implements StoreCommand {}

    /**
     * Encodes a command.
     *
     * @param leaderTime time of the leader, in milliseconds
     * @param command the command
     * @return the bytes
     */
    static byte[] encode(long leaderTime, StoreCommand command) {
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
    static Timed decode(byte[] bytes) {
        Encoded encoded = MessageCodec.decode(bytes, Encoded.class);
        if (encoded.kind < 0 || encoded.kind >= KINDS.size()) {
            throw new WireException(ErrorCode.FRAME_INVALID, "store command kind " + encoded.kind);
        }
        return new Timed(encoded.leaderTime, MessageCodec.decode(encoded.body, KINDS.get(encoded.kind)));
    }

    /** A command with the time that the leader gave it. Immutable. */
    record Timed(long leaderTime, StoreCommand command) {}

    /** Form of a command in the log. Immutable. */
    record Encoded(long leaderTime, int kind, byte[] body) {}
}
