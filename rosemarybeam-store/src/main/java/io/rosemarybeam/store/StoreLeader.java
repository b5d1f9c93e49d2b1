package io.rosemarybeam.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.SubmissionId;
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
 * Carries out requests while this host leads.
 *
 * <p>Invariants: a change is acknowledged only once it is committed and applied; a read is answered only after a majority
 * has confirmed that this host still leads. Confined to the thread of the log's driver.
 */
final class StoreLeader implements StoreState.Listener, BatchRunner.Leading {
    /** How much longer than promised results are kept, in milliseconds, for the lag of clocks. */
    private static final long FORGET_MARGIN_MILLISECONDS = 30_000;

    private static final EventLog LOG = EventLog.of(StoreLeader.class);

    private final LogDriver driver;
    private final StoreState state;
    private final LeaderClock clock;
    private final Supplier<Optional<RoutingTable>> table;
    private final Retirements retirements;
    private final VersionOrders orders;
    private final long resultsKept;
    private final Map<SubmissionId, List<WaitingRead>> waitingReads = new HashMap<>();
    private final Map<SubmissionId, List<Submission.Result>> unlisted = new HashMap<>();
    private final BatchRunner runner;

    /** Tells whether store hosts can be emptied. */
    interface Retirements {
        /** Whether the host is known. */
        boolean isKnown(String name);

        /** Whether enough hosts would remain without it. */
        boolean isAllowed(String name);

        /** Whether the host holds nothing that others lack. */
        boolean isEmptied(String name);
    }

    StoreLeader(
            LogDriver driver,
            StoreState state,
            LeaderClock clock,
            Supplier<Optional<RoutingTable>> table,
            Retirements retirements,
            VersionOrders orders,
            Duration resultsKept,
            RunnerFactory runners) {
        this.driver = driver;
        this.state = state;
        this.clock = clock;
        this.table = table;
        this.retirements = retirements;
        this.orders = orders;
        this.resultsKept = resultsKept.toMillis();
        this.runner = runners.create(this);
        state.listen(this);
    }

    /** Creates the runner of a leader. */
    interface RunnerFactory {
        BatchRunner create(BatchRunner.Leading leading);
    }

    void stop() {
        state.listen(new StoreState.Listener() {});
        runner.stop();
        orders.stop();
        waitingReads
                .values()
                .forEach(reads -> reads.forEach(read -> read.reply.accept(StoreReply.of(Outcome.NOT_LEADER))));
        waitingReads.clear();
    }

    int openItems() {
        return runner.openItems();
    }

    int waitingItems() {
        return runner.waitingItems();
    }

    // Time

    void tick() {
        runner.tick();
        orders.tick(table.get(), runner::demand);
        answerExpiredReads();
        forgetOld();
        flush();
    }

    private void answerExpiredReads() {
        long now = Forwarder.now();
        for (SubmissionId id : List.copyOf(waitingReads.keySet())) {
            List<WaitingRead> reads = waitingReads.get(id);
            List<WaitingRead> due =
                    reads.stream().filter(read -> now >= read.until).toList();
            reads.removeAll(due);
            if (reads.isEmpty()) {
                waitingReads.remove(id);
            }
            due.forEach(read -> confirmed(read.reply, () -> page(id, read.after)));
        }
    }

    private void forgetOld() {
        long oldest = clock.leaderTime() - resultsKept - FORGET_MARGIN_MILLISECONDS;
        List<SubmissionId> old = state.submissions().stream()
                .filter(kept -> kept.acceptedAt() < oldest && (kept.isEnded() || kept.isWhole()))
                .map(kept -> kept.submission().id())
                .toList();
        if (!old.isEmpty()) {
            propose(new StoreCommand.ForgetSubmissions(old), reply -> {});
        }
    }

    // Requests

    /**
     * Carries out a request.
     *
     * @param request the request
     * @param reply receives the one reply
     */
    void serve(StoreMessage request, Consumer<StoreReply> reply) {
        switch (request) {
            case ReplaceConfiguration replace ->
                propose(new StoreCommand.PutConfiguration(replace.version(), replace.text()), reply);
            case ReadNewestConfiguration ignored -> confirmed(reply, this::newestConfiguration);
            case NameVersion name -> nameVersion(name, reply);
            case SubmitBatch submit -> submit(submit.submission(), reply);
            case EndSubmission end -> propose(new StoreCommand.CloseSubmission(end.submission()), reply);
            case ReadResults read -> read(read, reply);
            case ReadItem read -> confirmed(reply, () -> itemBody(read));
            case RetireHost retire -> retire(retire, reply);
            case ReadRetirement read -> confirmed(reply, () -> retirement(read));
            default -> reply.accept(StoreReply.of(Outcome.UNKNOWN));
        }
    }

    private void propose(StoreCommand command, Consumer<StoreReply> reply) {
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

    private void confirmed(Consumer<StoreReply> reply, Supplier<StoreReply> read) {
        confirmed(reply, read, () -> false);
    }

    private StoreReply newestConfiguration() {
        return state.configuration().map(held -> StoreReply.of(held.text())).orElse(StoreReply.of(Outcome.UNKNOWN));
    }

    private void nameVersion(NameVersion name, Consumer<StoreReply> reply) {
        LOG.log(Event.VERSION_NAMED, "model", name.model(), "version", name.version(), "age", clock.leaderTime());
        propose(new StoreCommand.PutVersion(name.model(), name.version()), reply);
    }

    private void submit(Submission submission, Consumer<StoreReply> reply) {
        Optional<Route> route = table.get().flatMap(current -> current.find(submission.host(), submission.routePath()));
        propose(
                new StoreCommand.AcceptSubmission(
                        submission, route.map(Route::name).orElse("")),
                reply);
    }

    private void read(ReadResults read, Consumer<StoreReply> reply) {
        confirmed(reply, () -> page(read.submission(), read.after()), () -> {
            Optional<KeptSubmission> kept = state.submission(read.submission());
            boolean waits = kept.isPresent()
                    && read.waitMilliseconds() > 0
                    && kept.get().listed() <= read.after()
                    && !kept.get().isEnded()
                    && !kept.get().isWhole();
            if (waits) {
                waitingReads
                        .computeIfAbsent(read.submission(), ignored -> new ArrayList<>())
                        .add(new WaitingRead(read.after(), Forwarder.now() + read.waitMilliseconds(), reply));
            }
            return waits;
        });
    }

    private void confirmed(Consumer<StoreReply> reply, Supplier<StoreReply> read, Supplier<Boolean> waits) {
        driver.confirmLeadership(false).whenComplete((nothing, failure) -> {
            if (failure != null) {
                reply.accept(StoreReply.of(Outcome.NOT_LEADER));
            } else if (!waits.get()) {
                reply.accept(read.get());
            }
        });
    }

    private StoreReply page(SubmissionId id, int after) {
        return state.submission(id).map(kept -> StoreReply.of(kept.page(after))).orElse(StoreReply.of(Outcome.UNKNOWN));
    }

    private StoreReply itemBody(ReadItem read) {
        return state.submission(read.submission())
                .filter(kept -> !kept.isEnded())
                .flatMap(kept -> kept.item(read.item()))
                .map(item -> StoreReply.of(item.body()))
                .orElse(StoreReply.of(Outcome.UNKNOWN));
    }

    private void retire(RetireHost retire, Consumer<StoreReply> reply) {
        if (!retirements.isKnown(retire.host())) {
            confirmed(reply, () -> StoreReply.of(Outcome.UNKNOWN));
        } else if (state.retiring().contains(retire.host())) {
            confirmed(reply, () -> StoreReply.of(Outcome.IN_PROGRESS));
        } else if (!retirements.isAllowed(retire.host())) {
            confirmed(reply, () -> StoreReply.of(Outcome.REFUSED));
        } else {
            LOG.log(Event.RETIREMENT_STARTED, "host", retire.host());
            propose(new StoreCommand.Retire(retire.host()), reply);
        }
    }

    private StoreReply retirement(ReadRetirement read) {
        if (!retirements.isKnown(read.host())) {
            return StoreReply.of(Outcome.UNKNOWN);
        }
        boolean isDone = state.retiring().contains(read.host()) && retirements.isEmptied(read.host());
        return StoreReply.of(isDone ? Outcome.DONE : Outcome.IN_PROGRESS);
    }

    // State

    @Override
    public void accepted(KeptSubmission kept) {
        LOG.log(
                Event.SUBMISSION_ACCEPTED,
                "request",
                kept.submission().id(),
                "step",
                kept.submission().step(),
                "items",
                kept.submission().items().size(),
                "groups",
                kept.submission().wantedGroups(),
                "oldest",
                kept.submission().oldestVersion(),
                "named",
                kept.submission()
                        .model()
                        .map(model -> state.versions().get(model))
                        .orElse(-1L));
        runner.add(kept);
    }

    @Override
    public void ended(KeptSubmission kept) {
        LOG.log(
                Event.SUBMISSION_ENDED,
                "request",
                kept.submission().id(),
                "listed",
                kept.listed(),
                "items",
                kept.submission().items().size(),
                "age",
                clock.leaderTime() - kept.acceptedAt());
        runner.end(kept);
        answerReads(kept);
    }

    @Override
    public void listed(KeptSubmission kept) {
        runner.listed(kept);
        answerReads(kept);
    }

    private void answerReads(KeptSubmission kept) {
        SubmissionId id = kept.submission().id();
        List<WaitingRead> reads = waitingReads.remove(id);
        if (reads != null) {
            reads.forEach(read -> confirmed(read.reply, () -> page(id, read.after)));
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
    public void keep(SubmissionId submission, List<KeptSubmission.StoredText> texts) {
        propose(new StoreCommand.KeepTexts(submission, texts), reply -> {});
    }

    @Override
    public void list(SubmissionId submission, List<Submission.Result> results) {
        unlisted.computeIfAbsent(submission, ignored -> new ArrayList<>()).addAll(results);
    }

    /** Proposes the results of one tick together. */
    private void flush() {
        Map<SubmissionId, List<Submission.Result>> ready = new HashMap<>(unlisted);
        unlisted.clear();
        ready.forEach((submission, results) -> propose(new StoreCommand.ListResults(submission, results), reply -> {}));
    }

    /** A read that waits for a result. Immutable. */
    private record WaitingRead(int after, long until, Consumer<StoreReply> reply) {}
}
