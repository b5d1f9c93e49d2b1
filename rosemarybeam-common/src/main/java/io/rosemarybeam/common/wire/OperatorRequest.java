package io.rosemarybeam.common.wire;

/** Requests from the operators' command line. Immutable and safe for use by several threads. */
public sealed interface OperatorRequest extends Message {
    /**
     * Proposes a configuration; answered by {@link ControlReply.ApplyReply}.
     *
     * @param text the complete configuration text
     * @param operator name of the operator who applies it
     * @param waitMilliseconds maximum time to wait until it is in force; zero answers right after acceptance
     */
    record ApplyConfiguration(String text, String operator, long waitMilliseconds) implements OperatorRequest {}

    /** Reads the newest accepted configuration; answered by {@link ControlReply.ConfigurationReply}. */
    record ReadConfiguration() implements OperatorRequest {}

    /**
     * Reads the history; answered by {@link ControlReply.HistoryReply}.
     *
     * @param maximumLines maximum number of lines
     */
    record ReadHistory(int maximumLines) implements OperatorRequest {}

    /** Reads the state of the deployment; answered by {@link ControlReply.StatusReply}. */
    record ReadStatus() implements OperatorRequest {}

    /** Reads the state of the receiving process; answered by {@link CommonReply.DumpReply}. */
    record DumpRequest() implements OperatorRequest {}
}
