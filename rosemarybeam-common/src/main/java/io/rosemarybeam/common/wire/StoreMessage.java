package io.rosemarybeam.common.wire;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.id.WorkspaceName;

/** Messages between edge and store processes. Immutable and safe for use by several threads. */
public sealed interface StoreMessage extends Message {
    /**
     * Status of an edge, sent on each new connection to a store host and then on each change.
     *
     * @param host name of its host
     * @param callerAddress IP address and port for callers
     * @param failureDomain failure domain of the edge
     * @param draining whether callers should move to other edges
     * @param configurationVersion version of the configuration in use; -1 if there is none
     * @param peerAddress IP address and port for requests that other edges hand on; empty if an older sender omits it
     * @param cutOffServices services whose endpoints it cannot reach; empty if an older sender omits them
     * @param keepsStoreStatus whether it uses the status of a store host until the connection closes, so that an unchanged one
     *     need not be repeated; false if an older sender omits it
     * @param capacity processor cores of the edge; 0 if they are not known, or an older sender omits them
     */
    record EdgeStatus(
            String host,
            String callerAddress,
            String failureDomain,
            boolean draining,
            long configurationVersion,
            String peerAddress,
            List<String> cutOffServices,
            boolean keepsStoreStatus,
            double capacity)
            implements StoreMessage {
        /** Sets components that an older sender omits to empty ones. */
        public EdgeStatus {
            peerAddress = peerAddress == null ? "" : peerAddress;
            cutOffServices = cutOffServices == null ? List.of() : List.copyOf(cutOffServices);
        }

        /** Creates the status of an edge whose capacity is not known, with the first parameters of the record. */
        public EdgeStatus(
                String host,
                String callerAddress,
                String failureDomain,
                boolean draining,
                long configurationVersion,
                String peerAddress,
                List<String> cutOffServices,
                boolean keepsStoreStatus) {
            this(
                    host,
                    callerAddress,
                    failureDomain,
                    draining,
                    configurationVersion,
                    peerAddress,
                    cutOffServices,
                    keepsStoreStatus,
                    0);
        }
    }

    /**
     * The address of an edge.
     *
     * @param callerAddress IP address and port for callers
     * @param failureDomain failure domain of the edge
     * @param peerAddress IP address and port for requests that other edges hand on; empty if it takes none
     * @param cutOffServices services whose endpoints it cannot reach
     * @param capacity processor cores of the edge; 0 if they are not known, or an older sender omits them
     */
    record EdgeAddress(
            String callerAddress,
            String failureDomain,
            String peerAddress,
            List<String> cutOffServices,
            double capacity) {
        /** Sets components that an older sender omits to empty ones. */
        public EdgeAddress {
            peerAddress = peerAddress == null ? "" : peerAddress;
            cutOffServices = cutOffServices == null ? List.of() : List.copyOf(cutOffServices);
        }

        /** Creates the address of an edge whose capacity is not known, with the first parameters of the record. */
        public EdgeAddress(
                String callerAddress, String failureDomain, String peerAddress, List<String> cutOffServices) {
            this(callerAddress, failureDomain, peerAddress, cutOffServices, 0);
        }
    }

    /**
     * Status of a store host, sent on each new connection and on each change, and periodically to other store hosts and to
     * edges of earlier releases.
     *
     * @param host name of its host
     * @param address IP address and port of its protocol
     * @param incarnation identifies its data folder
     * @param term the largest term that it has seen
     * @param leading whether it is the leader of that term and has applied all earlier entries
     * @param stores addresses of all store hosts that it knows
     * @param edges the edges that are connected to it and not draining; empty in the status for other store hosts, which
     *     make no use of them
     * @param grantsPermits whether it answers {@link AcquirePermit} as a leader; false if an older sender omits it
     * @param findsStreams whether it answers {@link FindStream}; false if an older sender omits it
     * @param wallClock Unix time of the host when it sent the status, in milliseconds; 0 if it is not stated, or an older
     *     sender omits it
     * @param collectsUsage whether it takes {@link UsageRecords} and applies the commands of usage reports and replica
     *     orders; false if an older sender omits it
     */
    record StoreStatus(
            String host,
            String address,
            long incarnation,
            long term,
            boolean leading,
            List<String> stores,
            List<EdgeAddress> edges,
            boolean grantsPermits,
            boolean findsStreams,
            long wallClock,
            boolean collectsUsage)
            implements StoreMessage {
        public StoreStatus {
            stores = List.copyOf(stores);
            edges = List.copyOf(edges);
        }

        /** Creates the status of a host that takes part in no duties, with the first parameters of the record. */
        public StoreStatus(
                String host,
                String address,
                long incarnation,
                long term,
                boolean leading,
                List<String> stores,
                List<EdgeAddress> edges,
                boolean grantsPermits,
                boolean findsStreams) {
            this(host, address, incarnation, term, leading, stores, edges, grantsPermits, findsStreams, 0, false);
        }

        /**
         * Returns the status for other store hosts.
         *
         * @return a copy that lists no edges
         */
        public StoreStatus withoutEdges() {
            return new StoreStatus(
                    host,
                    address,
                    incarnation,
                    term,
                    leading,
                    stores,
                    List.of(),
                    grantsPermits,
                    findsStreams,
                    wallClock,
                    collectsUsage);
        }

        /**
         * Returns the status with the time at which it is sent; without it, an unchanged status equals the one before.
         *
         * @param unixTime Unix time of this host, in milliseconds
         * @return the status with it
         */
        public StoreStatus withWallClock(long unixTime) {
            return new StoreStatus(
                    host,
                    address,
                    incarnation,
                    term,
                    leading,
                    stores,
                    edges,
                    grantsPermits,
                    findsStreams,
                    unixTime,
                    collectsUsage);
        }
    }

    /**
     * Publishes the newest applied configuration.
     *
     * @param version its version
     * @param text the configuration as the operator sent it
     */
    record PushConfiguration(long version, byte[] text) implements StoreMessage {}

    /**
     * Publishes endpoint updates. Idempotent; the order of messages does not matter.
     *
     * @param announcements the newest announcement of each updated endpoint
     * @param crashes crashes of endpoints, by the requests that they ran; empty if an older sender omits them
     * @param rateLimits rate limits that endpoints name; empty if an older sender omits them
     * @param streams origins of streams that have begun; empty if an older sender omits them
     * @param versions what the sender knows of the software versions that served lately; unknown if it omits them
     */
    record EndpointNews(
            List<EndpointAnnouncement> announcements,
            List<EndpointCrash> crashes,
            List<EndpointRateLimit> rateLimits,
            List<StreamOrigin> streams,
            VersionHistory versions)
            implements StoreMessage {
        /** Maximum number of announcements in a batch; each has at most 128 KiB, and a frame 8 MiB. */
        private static final int MAXIMUM_ANNOUNCEMENTS = 50;

        /** Maximum number of origins in a batch; each has some hundred bytes. */
        private static final int MAXIMUM_STREAMS = 500;

        /** Copies the lists. */
        public EndpointNews {
            announcements = List.copyOf(announcements);
            crashes = crashes == null ? List.of() : List.copyOf(crashes);
            rateLimits = rateLimits == null ? List.of() : List.copyOf(rateLimits);
            streams = streams == null ? List.of() : List.copyOf(streams);
            versions = versions == null ? VersionHistory.UNKNOWN : versions;
        }

        /** Creates news without software versions. */
        public EndpointNews(
                List<EndpointAnnouncement> announcements,
                List<EndpointCrash> crashes,
                List<EndpointRateLimit> rateLimits,
                List<StreamOrigin> streams) {
            this(announcements, crashes, rateLimits, streams, VersionHistory.UNKNOWN);
        }

        public static EndpointNews ofAnnouncements(Collection<EndpointAnnouncement> announcements) {
            return new EndpointNews(List.copyOf(announcements), List.of(), List.of(), List.of());
        }

        /**
         * Splits announcements so that each message fits into a frame.
         *
         * @param announcements any number of announcements
         * @return messages that together contain them; none if there are no announcements
         */
        public static List<EndpointNews> batchesOf(Collection<EndpointAnnouncement> announcements) {
            List<EndpointAnnouncement> all = List.copyOf(announcements);
            List<EndpointNews> batches = new ArrayList<>();
            for (int start = 0; start < all.size(); start += MAXIMUM_ANNOUNCEMENTS) {
                batches.add(ofAnnouncements(all.subList(start, Math.min(all.size(), start + MAXIMUM_ANNOUNCEMENTS))));
            }
            return batches;
        }

        public static EndpointNews ofCrashes(Collection<EndpointCrash> crashes) {
            return new EndpointNews(List.of(), List.copyOf(crashes), List.of(), List.of());
        }

        public static EndpointNews ofRateLimits(Collection<EndpointRateLimit> rateLimits) {
            return new EndpointNews(List.of(), List.of(), List.copyOf(rateLimits), List.of());
        }

        /**
         * Splits origins of streams so that no message keeps its receiver busy for long.
         *
         * @param streams any number of origins
         * @return messages that together contain them; none if there are no origins
         */
        public static List<EndpointNews> batchesOfStreams(Collection<StreamOrigin> streams) {
            List<StreamOrigin> all = List.copyOf(streams);
            List<EndpointNews> batches = new ArrayList<>();
            for (int start = 0; start < all.size(); start += MAXIMUM_STREAMS) {
                List<StreamOrigin> batch = all.subList(start, Math.min(all.size(), start + MAXIMUM_STREAMS));
                batches.add(new EndpointNews(List.of(), List.of(), List.of(), batch));
            }
            return batches;
        }

        public static EndpointNews ofStream(StreamOrigin stream) {
            return new EndpointNews(List.of(), List.of(), List.of(), List.of(stream));
        }
    }

    /**
     * Asks the leader to store and run a submission. Idempotent.
     *
     * @param submission the submission
     */
    record SubmitBatch(Submission submission) implements StoreMessage {}

    /**
     * Asks the leader for results.
     *
     * @param submission the submission
     * @param after position of the first requested result
     * @param waitMilliseconds maximum time to wait for the first one
     * @param workspace the workspace of the caller's key; empty if callers need no key, or an older sender omits it
     */
    record ReadResults(SubmissionId submission, int after, long waitMilliseconds, Optional<WorkspaceName> workspace)
            implements StoreMessage {
        /** Sets a component that an older sender omits to an empty one. */
        public ReadResults {
            workspace = workspace == null ? Optional.empty() : workspace;
        }

        /** Creates the request of a caller without a workspace, with the first parameters of the record. */
        public ReadResults(SubmissionId submission, int after, long waitMilliseconds) {
            this(submission, after, waitMilliseconds, Optional.empty());
        }
    }

    /**
     * Asks the leader for the body of an item.
     *
     * @param submission the submission
     * @param item the item
     * @param workspace the workspace of the caller's key; empty if callers need no key, or an older sender omits it
     */
    record ReadItem(SubmissionId submission, ItemId item, Optional<WorkspaceName> workspace) implements StoreMessage {
        /** Sets a component that an older sender omits to an empty one. */
        public ReadItem {
            workspace = workspace == null ? Optional.empty() : workspace;
        }

        /** Creates the request of a caller without a workspace, with the first parameters of the record. */
        public ReadItem(SubmissionId submission, ItemId item) {
            this(submission, item, Optional.empty());
        }
    }

    /**
     * Asks the leader to end a submission. Idempotent.
     *
     * @param submission the submission
     * @param unknownMilliseconds for a repetition, the time since a leader first answered this sender that it does not know the
     *     submission, in milliseconds; 0 for an end that a caller asks for now, and if an older sender omits it
     * @param workspace the workspace of the caller's key; empty if callers need no key, or an older sender omits it
     */
    record EndSubmission(SubmissionId submission, long unknownMilliseconds, Optional<WorkspaceName> workspace)
            implements StoreMessage {
        /** Sets a component that an older sender omits to an empty one. */
        public EndSubmission {
            workspace = workspace == null ? Optional.empty() : workspace;
        }

        /** Creates the request of a caller without a workspace, with the first parameters of the record. */
        public EndSubmission(SubmissionId submission, long unknownMilliseconds) {
            this(submission, unknownMilliseconds, Optional.empty());
        }

        /** Creates the request for an end that a caller asks for now. */
        public static EndSubmission of(SubmissionId submission) {
            return new EndSubmission(submission, 0);
        }
    }

    /**
     * Asks the leader to replace the configuration if the version is higher. Idempotent.
     *
     * @param version its version
     * @param text the configuration as the operator sent it
     */
    record ReplaceConfiguration(long version, byte[] text) implements StoreMessage {}

    /** Asks the leader for the newest configuration. */
    record ReadNewestConfiguration() implements StoreMessage {}

    /**
     * Reports a new weight version to the leader. Idempotent.
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
     * Asks the leader for the progress of the retirement of a store host.
     *
     * @param host name of the host
     */
    record ReadRetirement(String host) implements StoreMessage {}

    /**
     * Asks the leader for a permit to send a request to an endpoint with a rate limit. Answered with {@link PermitReply}.
     *
     * @param request id of the request, for the log
     * @param candidates the endpoints that may run it, the preferred one first
     * @param priority priority of its route; 0 is the most urgent
     * @param maximumWaitMilliseconds how long the request can wait
     * @param workspace workspace of the request; empty if there is none, or an older sender omits it
     */
    record AcquirePermit(
            String request,
            List<EndpointId> candidates,
            int priority,
            long maximumWaitMilliseconds,
            Optional<WorkspaceName> workspace)
            implements StoreMessage {
        /** Copies the list, and sets a component that an older sender omits to an empty one. */
        public AcquirePermit {
            candidates = List.copyOf(candidates);
            workspace = workspace == null ? Optional.empty() : workspace;
        }
    }

    /**
     * Answers {@link AcquirePermit}.
     *
     * @param endpoint the endpoint to which the request may be sent now; empty if it was denied
     * @param waitMilliseconds the time that a denied request would have to wait; 0 if it was granted
     * @param retryMilliseconds when a new request has a chance; 0 if it was granted
     */
    record PermitReply(Optional<EndpointId> endpoint, long waitMilliseconds, long retryMilliseconds)
            implements StoreMessage {}

    /**
     * Asks any store host what began a stream. Answered with {@link StreamReply}.
     *
     * @param request id of the caller's attempt that brought the first event; empty if the caller did not name it
     * @param services the services of the route; empty if an older sender omits them
     */
    record FindStream(String request, List<ServiceName> services) implements StoreMessage {
        /** Copies the list. */
        public FindStream {
            services = services == null ? List.of() : List.copyOf(services);
        }
    }

    /**
     * Answers {@link FindStream}.
     *
     * @param origin the origin of the stream; empty if the host does not know it
     * @param collecting whether the host has just started, so that edges may know origins that it has not received yet; false
     *     if an older sender omits it
     * @param versions the software versions of the route's service that served lately, if it has one service only; empty if the
     *     host cannot rule out others, or an older sender omits them
     */
    record StreamReply(Optional<StreamOrigin> origin, boolean collecting, Optional<List<String>> versions)
            implements StoreMessage {
        /** Takes omitted versions for unknown ones. */
        public StreamReply {
            versions = versions == null ? Optional.empty() : versions.map(List::copyOf);
        }
    }

    /**
     * Reports requests that have begun to run at endpoints to the leader. Idempotent, because the records are numbered. Sent
     * only to a host whose status says {@link StoreStatus#collectsUsage}. Answered with {@link UsageReceived}.
     *
     * @param host name of the edge
     * @param incarnation identifies the process of the edge
     * @param wallClock Unix time of the edge when it sent the message, in milliseconds
     * @param firstSequence number of the first record
     * @param records the records, numbered without gaps
     */
    record UsageRecords(String host, long incarnation, long wallClock, long firstSequence, List<UsageRecord> records)
            implements StoreMessage {
        public UsageRecords {
            records = List.copyOf(records);
        }
    }

    /**
     * One request that has begun to run.
     *
     * @param workspace its workspace
     * @param ageMilliseconds time since it began, in milliseconds when the message was sent
     */
    record UsageRecord(WorkspaceName workspace, long ageMilliseconds) {}

    /**
     * Answers {@link UsageRecords}.
     *
     * @param incarnation the process of the edge
     * @param nextSequence number of the next record that the leader expects
     */
    record UsageReceived(long incarnation, long nextSequence) implements StoreMessage {}

    /** The outcome of a store request. */
    enum Outcome {
        /** It was executed by this request or an earlier one. */
        DONE,
        /** It was executed in part; the rest is in progress. */
        IN_PROGRESS,
        /** The requested object does not exist. */
        UNKNOWN,
        /** It is not allowed in the current state. */
        REFUSED,
        /** This host is not the leader; nothing was executed. */
        NOT_LEADER,
        /** The leader cannot determine whether it was or will be executed. */
        UNCERTAIN,
        /** The id belongs to a submission of another workspace; replied only to a submission that names its workspace. */
        CONFLICT
    }

    /**
     * Answers a store request.
     *
     * @param outcome the outcome of the request
     * @param content a configuration or a body; empty for other requests
     * @param page results; empty for other requests
     */
    record StoreReply(Outcome outcome, byte[] content, Optional<ResultPage> page) implements StoreMessage {
        private static final byte[] EMPTY = {};

        /** Sets components that an older sender omits to empty ones. */
        public StoreReply {
            content = content == null ? EMPTY : content;
            page = page == null ? Optional.empty() : page;
        }

        public static StoreReply of(Outcome outcome) {
            return new StoreReply(outcome, EMPTY, Optional.empty());
        }

        public static StoreReply of(byte[] content) {
            return new StoreReply(Outcome.DONE, content, Optional.empty());
        }

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
        public ResultPage {
            results = List.copyOf(results);
        }
    }
}
