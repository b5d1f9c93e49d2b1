package io.rosemarybeam.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.common.wire.StoreMessage;
import io.rosemarybeam.common.wire.StoreMessage.EndSubmission;
import io.rosemarybeam.common.wire.StoreMessage.NameVersion;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.ReadItem;
import io.rosemarybeam.common.wire.StoreMessage.ReadNewestConfiguration;
import io.rosemarybeam.common.wire.StoreMessage.ReadResults;
import io.rosemarybeam.common.wire.StoreMessage.ReadRetirement;
import io.rosemarybeam.common.wire.StoreMessage.ReplaceConfiguration;
import io.rosemarybeam.common.wire.StoreMessage.RetireHost;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.StoreMessage.SubmitBatch;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.control.LeaderClock;
import io.rosemarybeam.control.LogDriver;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.forward.Forwarder;

/**
 * Executes requests while this host is the leader of the replicated log.
 *
 * <p>Invariants: a change is acknowledged only after it is committed and applied; reads are linearizable, that is, a read is
 * answered only after a majority has confirmed that this host still leads. Confined to the thread of the log driver.
 */
final class StoreLeader implements StoreState.Listener, BatchRunner.LeaderContext {
    /** Time for which results are stored beyond the promised retention, in milliseconds, because clocks may lag. */
    private static final long RETENTION_MARGIN_MILLISECONDS = 30_000;

    /**
     * Minimum time for which a submission is stored after its end, in milliseconds. An end whose acknowledgement was lost is sent
     * again, and would be answered as unknown once the submission is forgotten.
     */
    private static final long RETENTION_AFTER_END_MILLISECONDS = 30_000;

    /**
     * Time without a command after which the leader stores its time, in milliseconds, while submissions are stored. The next
     * leader continues from the last stored time, so each change of the leader delays their removal by this time at most.
     */
    private static final long STORED_TIME_AGE_MILLISECONDS = 5_000;

    /** Maximum size of the texts that one command lists, in bytes, unless a single text is longer; commands are limited. */
    private static final int MAXIMUM_LISTED_BYTES = 1_048_576;

    private static final EventLog LOG = EventLog.of(StoreLeader.class);

    private final LogDriver driver;
    private final StoreState state;
    private final LeaderClock clock;
    private final Supplier<Optional<RoutingTable>> table;
    private final Retirements retirements;
    private final VersionOrders orders;
    private final SendAuthority authority;
    private final StateBudget budget;
    private final long resultRetentionMilliseconds;
    private final Map<SubmissionId, List<PendingRead>> pendingReads = new HashMap<>();

    /** The submissions that are proposed and not applied yet. */
    private final Map<SubmissionId, PendingSubmission> pendingSubmissions = new HashMap<>();

    /** Size of the submissions that are proposed and not applied yet. */
    private StoredBytes proposed = StoredBytes.NONE;

    /** Whether a submission was refused for lack of room since expired submissions were last removed. */
    private boolean roomNeeded;

    /** Leader time at which this leader last proposed to store its time, in milliseconds. */
    private long timeProposedAt;

    private final UnknownEnds unknownEnds = new UnknownEnds();
    private final Map<SubmissionId, List<Submission.Result>> pendingResults = new HashMap<>();
    private final BatchRunner runner;
    private Optional<ReplicaOrders> replicaOrders = Optional.empty();
    private Optional<LeaderDuties> duties = Optional.empty();

    /** Checks the retirement of store hosts. */
    interface Retirements {
        boolean isKnown(String name);

        /** Returns whether enough reachable hosts would remain without this one. */
        boolean isAllowed(String name);

        /** Returns whether the host is no longer a member and the remaining voters hold the complete log. */
        boolean isCompleted(String name);
    }

    StoreLeader(
            LogDriver driver,
            StoreState state,
            LeaderClock clock,
            Supplier<Optional<RoutingTable>> table,
            Retirements retirements,
            VersionOrders orders,
            SendAuthority authority,
            StateBudget budget,
            Duration resultRetention,
            RunnerFactory runners) {
        this.driver = driver;
        this.state = state;
        this.clock = clock;
        this.table = table;
        this.retirements = retirements;
        this.orders = orders;
        this.authority = authority;
        this.budget = budget;
        this.resultRetentionMilliseconds = resultRetention.toMillis();
        this.runner = runners.create(this);
        state.setListener(this);
    }

    /** Creates the {@link BatchRunner} of a new leader. */
    interface RunnerFactory {
        BatchRunner create(BatchRunner.LeaderContext leader);
    }

    /** Takes over the calls to the provider for this term. */
    void take(LeaderDuties taken) {
        duties = Optional.of(taken);
    }

    /** Returns the calls to the provider; empty if no provider is configured. */
    Optional<LeaderDuties> duties() {
        return duties;
    }

    void stop() {
        authority.end();
        duties.ifPresent(LeaderDuties::stop);
        state.setListener(new StoreState.Listener() {});
        runner.stop();
        orders.stop();
        replicaOrders.ifPresent(ReplicaOrders::stop);
        pendingReads
                .values()
                .forEach(reads -> reads.forEach(read -> read.reply.accept(StoreReply.of(Outcome.NOT_LEADER))));
        pendingReads.clear();
    }

    int openItems() {
        return runner.openItems();
    }

    int waitingItems() {
        return runner.waitingItems();
    }

    int waitingScorerCalls() {
        return runner.waitingScorerCalls();
    }

    /** Lets this leader order replicas; the orders are created with the access to its log. */
    void orderReplicas(Function<ReplicaOrders.Proposer, ReplicaOrders> factory) {
        replicaOrders = Optional.of(factory.apply(this::propose));
    }

    int orderedReplicas() {
        return replicaOrders.map(ReplicaOrders::orderedReplicas).orElse(0);
    }

    int announcedReplicas() {
        return replicaOrders.map(ReplicaOrders::announcedReplicas).orElse(0);
    }

    void tick() {
        runner.tick();
        orders.tick(table.get(), runner::demand);
        replicaOrders.ifPresent(replicas -> replicas.tick(table.get(), runner::replicaDemand, Forwarder.now()));
        answerExpiredReads();
        removeExpiredSubmissions();
        storeLeaderTime();
        proposePendingResults();
        duties.ifPresent(LeaderDuties::tick);
    }

    private void answerExpiredReads() {
        long now = Forwarder.now();
        for (SubmissionId id : List.copyOf(pendingReads.keySet())) {
            List<PendingRead> reads = pendingReads.get(id);
            List<PendingRead> expired =
                    reads.stream().filter(read -> now >= read.deadline).toList();
            reads.removeAll(expired);
            if (reads.isEmpty()) {
                pendingReads.remove(id);
            }
            expired.forEach(read -> readLinearizably(read.reply, () -> page(read.request)));
        }
    }

    /**
     * Forgets ended submissions whose retention is over. The platform promises the results of a submission until it is ended, so
     * one that was not ended is stored even if all its results are listed. It is forgotten only when a new submission was refused
     * for lack of room: trainers that are gone end nothing, and their submissions would fill the budget for good.
     */
    private void removeExpiredSubmissions() {
        boolean isRoomNeeded = roomNeeded;
        roomNeeded = false;
        long now = clock.leaderTime();
        long oldest = now - resultRetentionMilliseconds - RETENTION_MARGIN_MILLISECONDS;
        long oldestEnd = now - RETENTION_AFTER_END_MILLISECONDS;
        List<SubmissionId> expired = state.submissions().stream()
                .filter(stored -> stored.acceptedAt() < oldest)
                .filter(stored -> stored.isEnded() ? stored.endedAt() < oldestEnd : isRoomNeeded && stored.isComplete())
                .map(stored -> stored.submission().id())
                .toList();
        if (!expired.isEmpty()) {
            propose(new StoreCommand.ForgetSubmissions(expired), reply -> {});
        }
    }

    /** Proposes a command without effect but its time, which hosts of all releases can apply. */
    private void storeLeaderTime() {
        long now = clock.leaderTime();
        boolean isDue = now - Math.max(timeProposedAt, state.lastLeaderTime()) >= STORED_TIME_AGE_MILLISECONDS;
        if (isDue && !state.submissions().isEmpty()) {
            timeProposedAt = now;
            propose(new StoreCommand.ForgetSubmissions(List.of()), reply -> {});
        }
    }

    /**
     * Executes a request. A request of an unsupported type is answered with {@link Outcome#UNKNOWN}.
     *
     * @param request the request
     * @param reply called exactly once, with {@link Outcome#UNCERTAIN} if a change may or may not have been committed
     */
    void serve(StoreMessage request, Consumer<StoreReply> reply) {
        switch (request) {
            case ReplaceConfiguration replace ->
                propose(new StoreCommand.PutConfiguration(replace.version(), replace.text()), reply);
            case ReadNewestConfiguration ignored -> readLinearizably(reply, this::newestConfiguration);
            case NameVersion name -> publishVersion(name, reply);
            case SubmitBatch submit -> submit(submit.submission(), reply);
            case EndSubmission end -> end(end, reply);
            case ReadResults read -> read(read, reply);
            case ReadItem read -> readLinearizably(reply, () -> itemBody(read));
            case RetireHost retire -> retire(retire, reply);
            case ReadRetirement read -> readLinearizably(reply, () -> retirement(read));
            default -> reply.accept(StoreReply.of(Outcome.UNKNOWN));
        }
    }

    /**
     * Proposes a command.
     *
     * @param command the command
     * @param reply called exactly once, with {@link Outcome#UNCERTAIN} if it may or may not have been committed
     */
    void propose(StoreCommand command, Consumer<StoreReply> reply) {
        driver.propose(StoreCommand.encode(clock.leaderTime(), command)).whenComplete((message, failure) -> {
            if (failure == null) {
                reply.accept((StoreReply) message);
            } else {
                LOG.log(
                        Event.STORE_REQUEST_FAILED,
                        "kind",
                        command.getClass().getSimpleName(),
                        "reason",
                        failure.getMessage());
                reply.accept(StoreReply.of(Outcome.UNCERTAIN));
            }
        });
    }

    private void readLinearizably(Consumer<StoreReply> reply, Supplier<StoreReply> read) {
        readLinearizably(reply, read, () -> false);
    }

    private StoreReply newestConfiguration() {
        return state.configuration().map(newest -> StoreReply.of(newest.text())).orElse(StoreReply.of(Outcome.UNKNOWN));
    }

    private void publishVersion(NameVersion request, Consumer<StoreReply> reply) {
        LOG.log(Event.VERSION_NAMED, "model", request.model(), "version", request.version(), "age", clock.leaderTime());
        propose(new StoreCommand.PutVersion(request.model(), request.version()), reply);
    }

    /**
     * Stores a submission. Callers resend a submission whose acknowledgement they miss, so a copy waits for the proposal of the
     * first one, and a copy of a stored submission is acknowledged without a proposal; a submission may have several hundred
     * kilobytes, which each proposal sends to every store host.
     */
    private void submit(Submission submission, Consumer<StoreReply> reply) {
        SubmissionId id = submission.id();
        if (state.submission(id).isPresent()) {
            confirmStored(submission, reply);
            return;
        }
        PendingSubmission pending = pendingSubmissions.get(id);
        if (pending != null) {
            pending.add(submission, reply);
            return;
        }
        if (unknownEnds.contains(id, submission.workspace(), Forwarder.now())) {
            refuse(
                    id,
                    reply,
                    () -> LOG.log(
                            Event.REQUEST_REFUSED, "request", id, "reason", "the end of the submission came first"));
            return;
        }
        StoredBytes size = StoredSubmission.sizeOf(submission);
        long expectedBytes = state.expectedBytesWith(proposed.plus(size));
        if (!budget.hasRoom(expectedBytes)) {
            refuse(id, reply, () -> recordLackOfRoom(id, size, expectedBytes));
            return;
        }
        Optional<Route> route = table.get().flatMap(current -> current.find(submission.host(), submission.routePath()));
        StoreCommand command = new StoreCommand.AcceptSubmission(
                submission, route.map(Route::name).orElse(""));
        pendingSubmissions.put(id, new PendingSubmission(submission, reply));
        proposed = proposed.plus(size);
        propose(command, outcome -> {
            proposed = proposed.minus(size);
            pendingSubmissions.remove(id).finish(outcome);
        });
    }

    private void recordLackOfRoom(SubmissionId id, StoredBytes size, long expectedBytes) {
        roomNeeded = true;
        budget.countRefusal();
        LOG.log(
                Event.SUBMISSION_REFUSED,
                "request",
                id,
                "bytes",
                size.bytes(),
                "expectedBytes",
                expectedBytes,
                "stateBytes",
                state.expectedBytes(),
                "budgetBytes",
                budget.maximumBytes(),
                "submissions",
                state.submissions().size(),
                "term",
                authority.term());
    }

    /**
     * Ends a submission. The end of an unknown one is remembered and takes no entry of the log: callers and edges repeat it. It
     * is remembered before the leadership is confirmed, because a copy that is proposed meanwhile would follow it. The
     * confirmation waits until the entries of former leaders are applied, which may store the submission.
     */
    private void end(EndSubmission request, Consumer<StoreReply> reply) {
        SubmissionId id = request.submission();
        if (!isUnknown(id, request.workspace())) {
            close(request, reply);
            return;
        }
        unknownEnds.add(request, Forwarder.now());
        driver.confirmLeadership(false).whenComplete((ignored, failure) -> {
            if (failure != null) {
                reply.accept(StoreReply.of(Outcome.UNCERTAIN));
            } else if (isUnknown(id, request.workspace())) {
                logOtherWorkspace(id, request.workspace(), "end");
                reply.accept(StoreReply.of(Outcome.UNKNOWN));
            } else {
                close(request, reply);
            }
        });
    }

    private void close(EndSubmission request, Consumer<StoreReply> reply) {
        propose(new StoreCommand.CloseSubmission(request.submission()), outcome -> {
            if (outcome.outcome() == Outcome.DONE) {
                unknownEnds.remove(request.submission(), request.workspace());
            }
            reply.accept(outcome);
        });
    }

    /** Returns a stored submission, unless it belongs to another workspace, to whose callers alone it is known. */
    private Optional<StoredSubmission> stored(SubmissionId id, Optional<WorkspaceName> workspace) {
        return state.submission(id).filter(stored -> stored.submission().isOpenTo(workspace));
    }

    /** Logs that a request has no effect, if its submission is stored for another workspace. */
    private void logOtherWorkspace(SubmissionId id, Optional<WorkspaceName> workspace, String request) {
        state.submission(id)
                .filter(stored -> !stored.submission().isOpenTo(workspace))
                .ifPresent(stored -> LOG.log(
                        Event.SUBMISSION_OF_OTHER_WORKSPACE,
                        "request",
                        id,
                        "kind",
                        request,
                        "caller",
                        workspace.map(WorkspaceName::value).orElse(""),
                        "workspace",
                        stored.submission()
                                .workspace()
                                .map(WorkspaceName::value)
                                .orElse("")));
    }

    /** Returns whether no submission that is open to a workspace is stored or proposed by this leader under an id. */
    private boolean isUnknown(SubmissionId id, Optional<WorkspaceName> workspace) {
        PendingSubmission pending = pendingSubmissions.get(id);
        boolean isProposed = pending != null && pending.submission.isOpenTo(workspace);
        return stored(id, workspace).isEmpty() && !isProposed;
    }

    /** Returns whether a submission is neither stored nor proposed by this leader. */
    private boolean isUnknown(SubmissionId id) {
        return state.submission(id).isEmpty() && !pendingSubmissions.containsKey(id);
    }

    /**
     * Refuses a submission that is not stored, which promises that none of it runs. A host that leads no more does not know
     * whether its successor has stored it.
     */
    private void refuse(SubmissionId id, Consumer<StoreReply> reply, Runnable recordRefusal) {
        driver.confirmLeadership(false).whenComplete((ignored, failure) -> {
            if (failure == null && isUnknown(id)) {
                recordRefusal.run();
                reply.accept(StoreReply.of(Outcome.REFUSED));
            } else {
                reply.accept(StoreReply.of(Outcome.UNCERTAIN));
            }
        });
    }

    /** Never replies that this host does not lead, because callers then refuse the submission, although its items run. */
    private void confirmStored(Submission submission, Consumer<StoreReply> reply) {
        SubmissionId id = submission.id();
        driver.confirmLeadership(false).whenComplete((ignored, failure) -> {
            if (failure != null || state.submission(id).isEmpty()) {
                reply.accept(StoreReply.of(Outcome.UNCERTAIN));
            } else if (stored(id, submission.workspace()).isEmpty()) {
                logOtherWorkspace(id, submission.workspace(), "submission");
                reply.accept(StoreReply.of(Outcome.CONFLICT));
            } else {
                reply.accept(StoreReply.of(Outcome.DONE));
            }
        });
    }

    private void read(ReadResults read, Consumer<StoreReply> reply) {
        readLinearizably(reply, () -> page(read), () -> {
            Optional<StoredSubmission> stored = stored(read.submission(), read.workspace());
            boolean isDeferred = stored.isPresent()
                    && read.waitMilliseconds() > 0
                    && stored.get().listedCount() <= read.after()
                    && !stored.get().isEnded()
                    && !stored.get().isComplete();
            if (isDeferred) {
                pendingReads
                        .computeIfAbsent(read.submission(), ignored -> new ArrayList<>())
                        .add(new PendingRead(read, Forwarder.now() + read.waitMilliseconds(), reply));
            }
            return isDeferred;
        });
    }

    private void readLinearizably(Consumer<StoreReply> reply, Supplier<StoreReply> read, Supplier<Boolean> isDeferred) {
        driver.confirmLeadership(false).whenComplete((ignored, failure) -> {
            if (failure != null) {
                reply.accept(StoreReply.of(Outcome.NOT_LEADER));
            } else if (!isDeferred.get()) {
                reply.accept(read.get());
            }
        });
    }

    private StoreReply page(ReadResults read) {
        logOtherWorkspace(read.submission(), read.workspace(), "read");
        return stored(read.submission(), read.workspace())
                .map(stored -> StoreReply.of(stored.page(read.after())))
                .orElse(StoreReply.of(Outcome.UNKNOWN));
    }

    private StoreReply itemBody(ReadItem read) {
        logOtherWorkspace(read.submission(), read.workspace(), "item");
        return stored(read.submission(), read.workspace())
                .filter(stored -> !stored.isEnded())
                .flatMap(stored -> stored.item(read.item()))
                .map(item -> StoreReply.of(item.body()))
                .orElse(StoreReply.of(Outcome.UNKNOWN));
    }

    private void retire(RetireHost retire, Consumer<StoreReply> reply) {
        if (!retirements.isKnown(retire.host())) {
            readLinearizably(reply, () -> StoreReply.of(Outcome.UNKNOWN));
        } else if (state.retiring().contains(retire.host())) {
            readLinearizably(reply, () -> StoreReply.of(Outcome.IN_PROGRESS));
        } else if (!retirements.isAllowed(retire.host())) {
            readLinearizably(reply, () -> StoreReply.of(Outcome.REFUSED));
        } else {
            LOG.log(Event.RETIREMENT_STARTED, "host", retire.host());
            propose(new StoreCommand.Retire(retire.host()), reply);
        }
    }

    private StoreReply retirement(ReadRetirement read) {
        if (!retirements.isKnown(read.host())) {
            return StoreReply.of(Outcome.UNKNOWN);
        }
        boolean isDone = state.retiring().contains(read.host()) && retirements.isCompleted(read.host());
        return StoreReply.of(isDone ? Outcome.DONE : Outcome.IN_PROGRESS);
    }

    @Override
    public void accepted(StoredSubmission stored) {
        LOG.log(
                Event.SUBMISSION_ACCEPTED,
                "request",
                stored.submission().id(),
                "step",
                stored.submission().step(),
                "items",
                stored.submission().items().size(),
                "groups",
                stored.submission().wantedGroups(),
                "oldest",
                stored.submission().oldestVersion(),
                "named",
                stored.submission()
                        .model()
                        .map(model -> state.versions().get(model))
                        .orElse(-1L));
        runner.add(stored);
    }

    @Override
    public void ended(StoredSubmission stored) {
        LOG.log(
                Event.SUBMISSION_ENDED,
                "request",
                stored.submission().id(),
                "listed",
                stored.listedCount(),
                "items",
                stored.submission().items().size(),
                "stages",
                runner.stages(stored),
                "term",
                authority.term(),
                "applied",
                driver.applied(),
                "age",
                clock.leaderTime() - stored.acceptedAt());
        runner.end(stored);
        answerReads(stored);
    }

    @Override
    public void listed(StoredSubmission stored) {
        runner.listed(stored);
        answerReads(stored);
    }

    private void answerReads(StoredSubmission stored) {
        SubmissionId id = stored.submission().id();
        List<PendingRead> reads = pendingReads.remove(id);
        if (reads != null) {
            reads.forEach(read -> readLinearizably(read.reply, () -> page(read.request)));
        }
    }

    @Override
    public Optional<RoutingTable> table() {
        return table.get();
    }

    @Override
    public long leaderTime() {
        return clock.leaderTime();
    }

    @Override
    public void storeTexts(SubmissionId submission, List<StoredSubmission.StoredText> texts) {
        propose(new StoreCommand.KeepTexts(submission, texts), reply -> {});
    }

    @Override
    public void listResults(SubmissionId submission, List<Submission.Result> results) {
        pendingResults.computeIfAbsent(submission, ignored -> new ArrayList<>()).addAll(results);
    }

    /** Proposes the results of one tick as one log entry per submission, or several if the texts are long. */
    private void proposePendingResults() {
        Map<SubmissionId, List<Submission.Result>> ready = new HashMap<>(pendingResults);
        pendingResults.clear();
        ready.forEach((submission, results) -> splitBySize(results).forEach(part -> listNow(submission, part)));
    }

    /** Results that the log refuses, as during a transfer of leadership, are proposed again while this host leads. */
    private void listNow(SubmissionId submission, List<Submission.Result> results) {
        propose(new StoreCommand.ListResults(submission, results), reply -> {
            if (reply.outcome() == Outcome.UNCERTAIN) {
                listResults(submission, results);
            }
        });
    }

    private static List<List<Submission.Result>> splitBySize(List<Submission.Result> results) {
        List<List<Submission.Result>> parts = new ArrayList<>();
        int bytes = 0;
        for (Submission.Result result : results) {
            bytes += result.text().length;
            if (parts.isEmpty() || bytes > MAXIMUM_LISTED_BYTES) {
                parts.add(new ArrayList<>());
                bytes = result.text().length;
            }
            parts.getLast().add(result);
        }
        return parts;
    }

    /** A long-polling read that waits for the next result. Immutable. */
    private record PendingRead(ReadResults request, long deadline, Consumer<StoreReply> reply) {}

    /** A submission that is proposed, and the receivers of its outcome. Confined to the thread of the log driver. */
    private static final class PendingSubmission {
        private final Submission submission;
        private final List<Consumer<StoreReply>> waiting = new ArrayList<>();

        PendingSubmission(Submission submission, Consumer<StoreReply> reply) {
            this.submission = submission;
            waiting.add(reply);
        }

        /** Adds a copy; one of another workspace conflicts with the submission once it is stored. */
        void add(Submission copy, Consumer<StoreReply> reply) {
            boolean isOpen = submission.isOpenTo(copy.workspace());
            waiting.add(
                    isOpen
                            ? reply
                            : outcome -> reply.accept(
                                    outcome.outcome() == Outcome.DONE ? StoreReply.of(Outcome.CONFLICT) : outcome));
        }

        void finish(StoreReply outcome) {
            waiting.forEach(waiter -> waiter.accept(outcome));
        }
    }
}
