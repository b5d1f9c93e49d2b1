package io.rosemarybeam.common.wire;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The number of every message class on the wire.
 *
 * <p>Invariant: a number never changes its meaning, and number 0 is the heartbeat. Immutable and safe for use by
 * several threads.
 */
public enum MessageType {
    /** {@link HandshakeMessage.Hello}. */
    HELLO(1, HandshakeMessage.Hello.class),
    /** {@link HandshakeMessage.Challenge}. */
    CHALLENGE(2, HandshakeMessage.Challenge.class),
    /** {@link HandshakeMessage.Proof}. */
    PROOF(3, HandshakeMessage.Proof.class),
    /** {@link HandshakeMessage.Welcome}. */
    WELCOME(4, HandshakeMessage.Welcome.class),
    /** {@link CommonReply.Accepted}. */
    ACCEPTED(10, CommonReply.Accepted.class),
    /** {@link CommonReply.Refused}. */
    REFUSED(11, CommonReply.Refused.class),
    /** {@link CommonReply.NotLeader}. */
    NOT_LEADER(12, CommonReply.NotLeader.class),
    /** {@link CommonReply.DumpReply}. */
    DUMP_REPLY(13, CommonReply.DumpReply.class),
    /** {@link EntryRequest.RenewEntryLease}. */
    RENEW_ENTRY_LEASE(30, EntryRequest.RenewEntryLease.class),
    /** {@link EntryRequest.AnnounceEndpoint}. */
    ANNOUNCE_ENDPOINT(31, EntryRequest.AnnounceEndpoint.class),
    /** {@link EntryRequest.LeaveEndpoint}. */
    LEAVE_ENDPOINT(32, EntryRequest.LeaveEndpoint.class),
    /** {@link EntryRequest.ClaimRequest}. */
    CLAIM_REQUEST(33, EntryRequest.ClaimRequest.class),
    /** {@link EntryRequest.RecordOutcome}. */
    RECORD_OUTCOME(34, EntryRequest.RecordOutcome.class),
    /** {@link EntryRequest.ReportCrash}. */
    REPORT_CRASH(35, EntryRequest.ReportCrash.class),
    /** {@link EntryRequest.OpenStep}. */
    OPEN_STEP(36, EntryRequest.OpenStep.class),
    /** {@link EntryRequest.TakeStep}. */
    TAKE_STEP(37, EntryRequest.TakeStep.class),
    /** {@link EntryRequest.CommitSamples}. */
    COMMIT_SAMPLES(38, EntryRequest.CommitSamples.class),
    /** {@link EntryRequest.RecordHandOver}. */
    RECORD_HAND_OVER(39, EntryRequest.RecordHandOver.class),
    /** {@link EntryRequest.AcknowledgeHandOver}. */
    ACKNOWLEDGE_HAND_OVER(40, EntryRequest.AcknowledgeHandOver.class),
    /** {@link EntryRequest.PublishWeights}. */
    PUBLISH_WEIGHTS(41, EntryRequest.PublishWeights.class),
    /** {@link EntryRequest.AcquireIssuer}. */
    ACQUIRE_ISSUER(42, EntryRequest.AcquireIssuer.class),
    /** {@link ControlReply.EntryLease}. */
    ENTRY_LEASE(60, ControlReply.EntryLease.class),
    /** {@link ControlReply.PushState}. */
    PUSH_STATE(61, ControlReply.PushState.class),
    /** {@link ControlReply.ClaimReply}. */
    CLAIM_REPLY(62, ControlReply.ClaimReply.class),
    /** {@link ControlReply.QuarantineState}. */
    QUARANTINE_STATE(63, ControlReply.QuarantineState.class),
    /** {@link ControlReply.StepState}. */
    STEP_STATE(64, ControlReply.StepState.class),
    /** {@link ControlReply.IssuerLease}. */
    ISSUER_LEASE(65, ControlReply.IssuerLease.class),
    /** {@link ControlReply.IssuerHeld}. */
    ISSUER_HELD(66, ControlReply.IssuerHeld.class),
    /** {@link ControlReply.ApplyReply}. */
    APPLY_REPLY(67, ControlReply.ApplyReply.class),
    /** {@link ControlReply.ConfigurationReply}. */
    CONFIGURATION_REPLY(68, ControlReply.ConfigurationReply.class),
    /** {@link ControlReply.HistoryReply}. */
    HISTORY_REPLY(69, ControlReply.HistoryReply.class),
    /** {@link ControlReply.StatusReply}. */
    STATUS_REPLY(70, ControlReply.StatusReply.class),
    /** {@link OperatorRequest.ApplyConfiguration}. */
    APPLY_CONFIGURATION(90, OperatorRequest.ApplyConfiguration.class),
    /** {@link OperatorRequest.ReadConfiguration}. */
    READ_CONFIGURATION(91, OperatorRequest.ReadConfiguration.class),
    /** {@link OperatorRequest.ReadHistory}. */
    READ_HISTORY(92, OperatorRequest.ReadHistory.class),
    /** {@link OperatorRequest.ReadStatus}. */
    READ_STATUS(93, OperatorRequest.ReadStatus.class),
    /** {@link OperatorRequest.DumpRequest}. */
    DUMP_REQUEST(94, OperatorRequest.DumpRequest.class),
    /** {@link PeerRequest.StoreBodies}. */
    STORE_BODIES(110, PeerRequest.StoreBodies.class),
    /** {@link PeerRequest.FetchBodies}. */
    FETCH_BODIES(111, PeerRequest.FetchBodies.class),
    /** {@link PeerRequest.Bodies}. */
    BODIES(112, PeerRequest.Bodies.class),
    /** {@link PeerRequest.DropBodies}. */
    DROP_BODIES(113, PeerRequest.DropBodies.class),
    /** {@link PeerRequest.RelayTrainerRequest}. */
    RELAY_TRAINER_REQUEST(114, PeerRequest.RelayTrainerRequest.class),
    /** {@link PeerRequest.RelayedAnswer}. */
    RELAYED_ANSWER(115, PeerRequest.RelayedAnswer.class),
    /** {@link ControlTraffic.LogTraffic}. */
    LOG_TRAFFIC(130, ControlTraffic.LogTraffic.class),
    /** {@link StoreMessage.EdgeStatus}. */
    EDGE_STATUS(150, StoreMessage.EdgeStatus.class),
    /** {@link StoreMessage.StoreStatus}. */
    STORE_STATUS(151, StoreMessage.StoreStatus.class),
    /** {@link StoreMessage.PushConfiguration}. */
    PUSH_CONFIGURATION(152, StoreMessage.PushConfiguration.class),
    /** {@link StoreMessage.EndpointNews}. */
    ENDPOINT_NEWS(153, StoreMessage.EndpointNews.class),
    /** {@link StoreMessage.SubmitBatch}. */
    SUBMIT_BATCH(154, StoreMessage.SubmitBatch.class),
    /** {@link StoreMessage.ReadResults}. */
    READ_RESULTS(155, StoreMessage.ReadResults.class),
    /** {@link StoreMessage.ReadItem}. */
    READ_ITEM(156, StoreMessage.ReadItem.class),
    /** {@link StoreMessage.EndSubmission}. */
    END_SUBMISSION(157, StoreMessage.EndSubmission.class),
    /** {@link StoreMessage.ReplaceConfiguration}. */
    REPLACE_CONFIGURATION(158, StoreMessage.ReplaceConfiguration.class),
    /** {@link StoreMessage.ReadNewestConfiguration}. */
    READ_NEWEST_CONFIGURATION(159, StoreMessage.ReadNewestConfiguration.class),
    /** {@link StoreMessage.NameVersion}. */
    NAME_VERSION(160, StoreMessage.NameVersion.class),
    /** {@link StoreMessage.RetireHost}. */
    RETIRE_HOST(161, StoreMessage.RetireHost.class),
    /** {@link StoreMessage.ReadRetirement}. */
    READ_RETIREMENT(162, StoreMessage.ReadRetirement.class),
    /** {@link StoreMessage.StoreReply}. */
    STORE_REPLY(163, StoreMessage.StoreReply.class),
    /** {@link StoreMessage.AcquirePermit}. */
    ACQUIRE_PERMIT(164, StoreMessage.AcquirePermit.class),
    /** {@link StoreMessage.PermitReply}. */
    PERMIT_REPLY(165, StoreMessage.PermitReply.class),
    /** {@link StoreMessage.FindStream}. */
    FIND_STREAM(166, StoreMessage.FindStream.class),
    /** {@link StoreMessage.StreamReply}. */
    STREAM_REPLY(167, StoreMessage.StreamReply.class),
    /** {@link StoreMessage.UsageRecords}. */
    USAGE_RECORDS(168, StoreMessage.UsageRecords.class),
    /** {@link StoreMessage.UsageReceived}. */
    USAGE_RECEIVED(169, StoreMessage.UsageReceived.class);

    private static final Map<Integer, MessageType> BY_NUMBER = new HashMap<>();
    private static final Map<Class<? extends Message>, MessageType> BY_CLASS = new HashMap<>();

    static {
        for (MessageType type : values()) {
            BY_NUMBER.put(type.number, type);
            BY_CLASS.put(type.messageClass, type);
        }
    }

    private final int number;
    private final Class<? extends Message> messageClass;

    MessageType(int number, Class<? extends Message> messageClass) {
        this.number = number;
        this.messageClass = messageClass;
    }

    /** Returns the positive number of this type. */
    public int number() {
        return number;
    }

    public Class<? extends Message> messageClass() {
        return messageClass;
    }

    /**
     * Finds the type with a number.
     *
     * @param number the number
     * @return the type, or empty if there is none
     */
    public static Optional<MessageType> find(int number) {
        return Optional.ofNullable(BY_NUMBER.get(number));
    }

    /**
     * Returns the type of a message.
     *
     * @param message the message
     * @return its type
     * @throws IllegalArgumentException if the class of the message has no number
     */
    public static MessageType of(Message message) {
        MessageType type = BY_CLASS.get(message.getClass());
        if (type == null) {
            throw new IllegalArgumentException("no message type for " + message.getClass());
        }
        return type;
    }
}
