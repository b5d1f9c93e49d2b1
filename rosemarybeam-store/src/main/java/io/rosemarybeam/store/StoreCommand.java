package io.rosemarybeam.store;

import java.util.List;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.common.wire.Submission;

/**
 * A change of the replicated state. Commands are idempotent, because callers resend them.
 *
 * <p>Immutable and safe for use by several threads.
 */
sealed interface StoreCommand {
    /** Command types by their number in the log format; entries may only be appended, never moved or removed. */
    List<Class<? extends StoreCommand>> KINDS = List.of(
            PutConfiguration.class,
            PutVersion.class,
            AcceptSubmission.class,
            ListResults.class,
            CloseSubmission.class,
            ForgetSubmissions.class,
            NameHost.class,
            Retire.class,
            KeepTexts.class,
            PutUsageReport.class,
            CompleteUsageReport.class,
            PutReplicaOrder.class);

    /** Replaces the configuration if the version is higher than the stored one. */
    record PutConfiguration(long version, byte[] text) implements StoreCommand {}

    /** Publishes a weight version of a model if it is higher than the stored one. */
    record PutVersion(ModelName model, long version) implements StoreCommand {}

    /** Stores a submission, unless one with its identifier is stored already. */
    record AcceptSubmission(Submission submission, String routeName) implements StoreCommand {}

    /** Appends results to a submission; results of items that are listed already are dropped. */
    record ListResults(SubmissionId submission, List<Submission.Result> results) implements StoreCommand {}

    /** Stores the text that items of a submission have generated since the previous command of this type. */
    record KeepTexts(SubmissionId submission, List<StoredSubmission.StoredText> texts) implements StoreCommand {}

    /** Ends a submission; its remaining items are cancelled. */
    record CloseSubmission(SubmissionId submission) implements StoreCommand {}

    /** Removes submissions whose retention time is over. */
    record ForgetSubmissions(List<SubmissionId> submissions) implements StoreCommand {}

    /** Stores the IP number of a store host under its name. */
    record NameHost(String name, String host) implements StoreCommand {}

    /** Starts the retirement of a store host. */
    record Retire(String name) implements StoreCommand {}

    /** Stores the last order of replicas of a service and kind in a failure domain, before it is sent. */
    record PutReplicaOrder(ServiceName service, FailureDomain failureDomain, int count, boolean preemptible)
            implements StoreCommand {}

    /**
     * Stores the report of a window, unless one of it or of a later window was stored. Only proposed if all members of the log
     * know the command.
     */
    record PutUsageReport(long window, List<UsageCount> counts) implements StoreCommand {
        public PutUsageReport {
            counts = List.copyOf(counts);
        }
    }

    /** Removes the report of a window that needs no further call. Only proposed if all members of the log know the command. */
    record CompleteUsageReport(long window) implements StoreCommand {}

    /** The requests of one workspace in a window. Immutable. */
    record UsageCount(WorkspaceName workspace, long count) {}

    /**
     * Encodes a command for the log.
     *
     * @param leaderTime current leader time, in milliseconds
     * @param command the command
     * @return the log entry
     */
    static byte[] encode(long leaderTime, StoreCommand command) {
        int kind = KINDS.indexOf(command.getClass());
        return MessageCodec.encode(new Encoded(leaderTime, kind, MessageCodec.encode((Record) command)));
    }

    /**
     * Decodes a log entry.
     *
     * @param bytes a log entry
     * @return the command with its leader time
     * @throws WireException with {@link ErrorCode#FRAME_INVALID} if the bytes are not a valid command
     */
    static Timed decode(byte[] bytes) {
        Encoded encoded = MessageCodec.decode(bytes, Encoded.class);
        if (encoded.kind < 0 || encoded.kind >= KINDS.size()) {
            throw new WireException(ErrorCode.FRAME_INVALID, "unknown store command type " + encoded.kind);
        }
        return new Timed(encoded.leaderTime, MessageCodec.decode(encoded.body, KINDS.get(encoded.kind)));
    }

    /** A command with the leader time at which it was proposed, in milliseconds. Immutable. */
    record Timed(long leaderTime, StoreCommand command) {}

    /** Serialized form of a command in the log. Immutable. */
    record Encoded(long leaderTime, int kind, byte[] body) {}
}
