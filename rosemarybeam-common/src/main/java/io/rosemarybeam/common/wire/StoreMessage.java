package io.rosemarybeam.common.wire;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.SubmissionId;

/** Messages between edge and store processes. Immutable and safe for use by several threads. */
public sealed interface StoreMessage extends Message {
    /**
     * What an edge says of itself, on each connection to a store host and then regularly.
     *
     * @param host name of its host
     * @param callerAddress IP number and port for callers
     * @param failureDomain where it runs
     * @param draining whether callers are to leave it
     * @param configurationVersion the configuration that it uses; -1 if it has none
     */
    record EdgeStatus(
            String host, String callerAddress, String failureDomain, boolean draining, long configurationVersion)
            implements StoreMessage {}

    /**
     * An edge as store hosts see it.
     *
     * @param callerAddress IP number and port for callers
     * @param failureDomain where it runs
     */
    record EdgeAddress(String callerAddress, String failureDomain) {}

    /**
     * What a store host says of itself, on each connection and then regularly.
     *
     * @param host name of its host
     * @param address IP number and port of its protocol
     * @param incarnation identifies its data folder
     * @param term the largest term that it has seen
     * @param leading whether it leads in that term and has applied all earlier entries
     * @param stores addresses of all store hosts that it knows
     * @param edges the edges that are connected to it and not draining
     */
    record StoreStatus(
            String host,
            String address,
            long incarnation,
            long term,
            boolean leading,
            List<String> stores,
            List<EdgeAddress> edges)
            implements StoreMessage {
        /** Copies the lists. */
        public StoreStatus {
            stores = List.copyOf(stores);
            edges = List.copyOf(edges);
        }
    }

    /**
     * Brings the newest applied configuration.
     *
     * @param version its version
     * @param text the configuration as the operator sent it
     */
    record PushConfiguration(long version, byte[] text) implements StoreMessage {}

    /**
     * Brings news of endpoints.
     *
     * @param announcements the newest word of each
     */
    record EndpointNews(List<EndpointAnnouncement> announcements) implements StoreMessage {
        /** Copies the list. */
        public EndpointNews {
            announcements = List.copyOf(announcements);
        }
    }

    /**
     * Asks the leader to keep and run a submission. Resending it is harmless.
     *
     * @param submission the submission
     */
    record SubmitBatch(Submission submission) implements StoreMessage {}

    /**
     * Asks the leader for results.
     *
     * @param submission the submission
     * @param after position of the first wanted result
     * @param waitMilliseconds how long to wait for the first one
     */
    record ReadResults(SubmissionId submission, int after, long waitMilliseconds) implements StoreMessage {}

    /**
     * Asks the leader for the body of an item.
     *
     * @param submission the submission
     * @param item the item
     */
    record ReadItem(SubmissionId submission, ItemId item) implements StoreMessage {}

    /**
     * Asks the leader to end a submission. Resending it is harmless.
     *
     * @param submission the submission
     */
    record EndSubmission(SubmissionId submission) implements StoreMessage {}

    /**
     * Asks the leader to replace the configuration if the version is higher. Resending it is harmless.
     *
     * @param version its version
     * @param text the configuration as the operator sent it
     */
    record ReplaceConfiguration(long version, byte[] text) implements StoreMessage {}

    /** Asks the leader for the newest configuration. */
    record ReadNewestConfiguration() implements StoreMessage {}

    /**
     * Tells the leader of a new weight version. Resending it is harmless.
     *
     * @param model the model
     * @param version the version
     */
    record NameVersion(ModelName model, long version) implements StoreMessage {}

    /**
     * Asks the leader to empty a store host so that it can be removed.
     *
     * @param host name of the host
     */
    record RetireHost(String host) implements StoreMessage {}

    /**
     * Asks the leader how far the retirement of a store host is.
     *
     * @param host name of the host
     */
    record ReadRetirement(String host) implements StoreMessage {}

    /** How a store request ended. */
    enum Outcome {
        /** It was carried out, or held already. */
        DONE,
        /** It was carried out in part, and goes on. */
        IN_PROGRESS,
        /** The named thing does not exist. */
        UNKNOWN,
        /** It is not allowed now. */
        REFUSED,
        /** This host does not lead; nothing was done. */
        NOT_LEADER,
        /** The leader cannot tell whether it was or will be done. */
        UNCERTAIN
    }

    /**
     * Answers a store request.
     *
     * @param outcome how it ended
     * @param content a configuration or a body; empty for other requests
     * @param page results; empty for other requests
     */
    record StoreReply(Outcome outcome, byte[] content, Optional<ResultPage> page) implements StoreMessage {
        private static final byte[] EMPTY = {};

        /** Replaces what an older sender left out. */
        public StoreReply {
            content = content == null ? EMPTY : content;
            page = page == null ? Optional.empty() : page;
        }

        /**
         * Returns a reply without content.
         *
         * @param outcome how the request ended
         * @return the reply
         */
        public static StoreReply of(Outcome outcome) {
            return new StoreReply(outcome, EMPTY, Optional.empty());
        }

        /**
         * Returns a reply with content.
         *
         * @param content the content
         * @return the reply
         */
        public static StoreReply of(byte[] content) {
            return new StoreReply(Outcome.DONE, content, Optional.empty());
        }

        /**
         * Returns a reply with results.
         *
         * @param page the results
         * @return the reply
         */
        public static StoreReply of(ResultPage page) {
            return new StoreReply(Outcome.DONE, EMPTY, Optional.of(page));
        }
    }

    /**
     * Results of a submission from a position on.
     *
     * @param total items of the submission
     * @param next position after the last result
     * @param results the results
     */
    record ResultPage(int total, int next, List<Submission.Result> results) {
        /** Copies the list. */
        public ResultPage {
            results = List.copyOf(results);
        }
    }
}
