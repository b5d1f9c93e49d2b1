package io.rosemarybeam.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.StorageException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.consensus.DurableState;
import io.rosemarybeam.consensus.HardState;
import io.rosemarybeam.consensus.LogEntry;
import io.rosemarybeam.consensus.LogMessage.Envelope;
import io.rosemarybeam.consensus.LogOptions;
import io.rosemarybeam.consensus.LogSnapshot;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import io.rosemarybeam.consensus.MembershipChange;
import io.rosemarybeam.consensus.Ready;
import io.rosemarybeam.consensus.ReplicatedLog;
import io.rosemarybeam.consensus.storage.LogStorage;

/**
 * Connects the replicated log with its storage, the other hosts of the log and the state machine.
 *
 * <p>Invariants: storage is used by one task at a time on the storage executor; everything else runs on the control
 * executor. A proposal completes once its entry is applied, or fails when this host stops leading. After an error, such as a lack
 * of memory, the log may hold entries that are neither stored nor applied, so it is reported as a failure like any other. The
 * exception is a snapshot whose captured state cannot be encoded for lack of memory, or whose temporary file cannot be written:
 * log and state are as before, so it is put off ({@link SnapshotSchedule}) and this host goes on.
 */
public final class LogDriver {
    /** Maximum number of entries before a snapshot that stay in memory, for hosts that lag slightly. */
    private static final int RETAINED_ENTRIES = 1_024;

    /** Maximum size of the entries before a snapshot that stay in memory, in bytes. */
    private static final int RETAINED_BYTES = 1_048_576;

    private static final byte[] INITIAL_STATE = {};

    private static final EventLog LOG = EventLog.of(LogDriver.class);

    private final Executor controlExecutor;
    private final Executor storageExecutor;
    private final Executor snapshotExecutor;
    private final LogStorage storage;
    private final StateMachine state;
    private final Listener listener;
    private final MonotonicClock clock;
    private final SnapshotSchedule snapshots;
    private final MajorityContact contact = new MajorityContact();
    private final TreeMap<Long, Proposal> proposals = new TreeMap<>();
    private final Map<Long, CompletableFuture<Void>> pendingReads = new HashMap<>();
    private final TreeMap<Long, List<CompletableFuture<Void>>> confirmedReads = new TreeMap<>();
    private ReplicatedLog log;
    private long applied;
    private long appliedTerm;
    private long lastReadId;
    private long syncedEntries;
    private OptionalLong storedSnapshotBytes = OptionalLong.empty();
    private long snapshotStoredAt;
    private boolean processingScheduled;
    private boolean stopped;
    private boolean leadershipReported;

    /** Callbacks of the log. Called on the control executor. */
    public interface Listener {
        /** Sends a message to another host of the log. */
        void send(Envelope envelope);

        /** Called after commands were applied or a snapshot was installed. */
        void onApplied();

        /** Called when this host leads and has applied every entry of former leaders. */
        void onLeadershipAcquired();

        /** Called when this host stops leading. */
        void onLeadershipLost();

        /** Called when storage fails or an invariant of the log does not hold; the process must stop. */
        void onFailure(Throwable failure);
    }

    /**
     * Creates a driver.
     *
     * @param controlExecutor runs everything except storage tasks
     * @param storageExecutor runs storage tasks, one at a time
     * @param storage stores the log
     * @param log the log
     * @param snapshot the snapshot that the storage holds
     * @param state applies the committed commands
     * @param listener is notified of the effects of the log
     */
    public LogDriver(
            Executor controlExecutor,
            Executor storageExecutor,
            LogStorage storage,
            ReplicatedLog log,
            Optional<LogSnapshot> snapshot,
            StateMachine state,
            Listener listener) {
        this(
                controlExecutor,
                storageExecutor,
                LogDriver::startSnapshotThread,
                MonotonicClock.system(),
                storage,
                log,
                snapshot,
                state,
                listener);
    }

    /** Creates a driver with another clock, and another executor for the encoding of snapshots, for tests. */
    LogDriver(
            Executor controlExecutor,
            Executor storageExecutor,
            Executor snapshotExecutor,
            MonotonicClock clock,
            LogStorage storage,
            ReplicatedLog log,
            Optional<LogSnapshot> snapshot,
            StateMachine state,
            Listener listener) {
        this.controlExecutor = controlExecutor;
        this.storageExecutor = storageExecutor;
        this.snapshotExecutor = snapshotExecutor;
        this.clock = clock;
        this.snapshots = new SnapshotSchedule(log.self(), clock.milliseconds());
        this.storage = storage;
        this.log = log;
        this.state = state;
        this.listener = listener;
        snapshot.ifPresent(this::install);
    }

    public ReplicatedLog log() {
        return log;
    }

    /**
     * Returns the index of the last applied entry.
     *
     * @return the index, or that of the installed snapshot
     */
    public long applied() {
        return applied;
    }

    /** Encoding a state of maximum size takes longer than an election timeout, so it runs on neither executor. */
    private static void startSnapshotThread(Runnable task) {
        Thread.ofPlatform().name("snapshot").daemon().start(task);
    }

    /** Returns the size of the last snapshot that this process has stored, in bytes; empty if it has stored none. */
    public OptionalLong storedSnapshotBytes() {
        return storedSnapshotBytes;
    }

    /** Returns the time since this process has stored a snapshot, in milliseconds; empty if it has stored none. */
    public OptionalLong storedSnapshotAge() {
        return storedSnapshotBytes.isPresent()
                ? OptionalLong.of(clock.milliseconds() - snapshotStoredAt)
                : OptionalLong.empty();
    }

    /** Returns the number of entries that were synced to storage since the start of the process. */
    public long syncedEntries() {
        return syncedEntries;
    }

    /**
     * Writes the initial log of a new deployment to the storage of an empty host and then uses it.
     *
     * @param options timing and sizes
     * @param members the initial members, the same on all hosts that create the log
     */
    public void bootstrap(LogOptions options, Membership members) {
        LogSnapshot snapshot = new LogSnapshot(1, 1, members, INITIAL_STATE);
        HardState hardState = new HardState(1, Optional.empty());
        storageExecutor.execute(() -> {
            try {
                storage.persist(Optional.of(hardState), Optional.of(snapshot), List.of());
                controlExecutor.execute(() -> {
                    DurableState first = new DurableState(hardState, Optional.of(snapshot), List.of());
                    log = new ReplicatedLog(options, log.self(), first);
                    install(snapshot);
                    schedule();
                });
            } catch (RuntimeException | Error failure) {
                controlExecutor.execute(() -> listener.onFailure(failure));
            }
        });
    }

    /** Stops the driver; pending and later proposals and reads fail. */
    public void stop() {
        stopped = true;
        failPending();
    }

    /** Advances the time of the log by one tick. */
    public void tick() {
        log.tick();
        schedule();
    }

    /** Postpones an election, because the process of the leader runs although it sends no heartbeats. */
    public void leaderIsAlive(KeepAliveMessage message) {
        log.leaderIsAlive(message.leader(), message.term());
    }

    /** Passes a message of another host to the log. */
    public void receive(Envelope envelope) {
        log.receive(envelope);
        schedule();
    }

    /**
     * Proposes a command.
     *
     * @param command the encoded command
     * @return completes with the reply once the command is applied, or with a {@link ControlException} if this host
     *     does not lead or stops leading
     */
    public CompletableFuture<Message> propose(byte[] command) {
        if (stopped) {
            return CompletableFuture.failedFuture(stoppedLeading());
        }
        CompletableFuture<Message> reply = new CompletableFuture<>();
        try {
            long index = log.propose(command);
            proposals.put(index, new Proposal(log.term(), reply));
            schedule();
        } catch (ControlException refusal) {
            reply.completeExceptionally(refusal);
        }
        return reply;
    }

    /**
     * Proposes a change of the membership.
     *
     * @param change the change
     * @throws ControlException if the log refuses it
     */
    public void proposeChange(MembershipChange change) {
        log.proposeChange(change);
        schedule();
    }

    /**
     * Starts a transfer of leadership.
     *
     * @param target the voter that is to lead next
     */
    public void transferLeadership(MemberId target) {
        log.transferLeadership(target);
        schedule();
    }

    /**
     * Confirms that this host still leads, for a linearizable read. Completes once a majority has confirmed that this
     * host led after the call, and every entry committed before the call is applied.
     *
     * @param withHeartbeat whether to wait for the next heartbeat, which costs no extra message
     * @return completes normally, or with a {@link ControlException}
     */
    public CompletableFuture<Void> confirmLeadership(boolean withHeartbeat) {
        if (stopped) {
            return CompletableFuture.failedFuture(stoppedLeading());
        }
        CompletableFuture<Void> confirmation = new CompletableFuture<>();
        lastReadId++;
        try {
            if (withHeartbeat) {
                log.readIndexWithHeartbeat(lastReadId);
            } else {
                log.readIndex(lastReadId);
            }
            pendingReads.put(lastReadId, confirmation);
            schedule();
        } catch (ControlException refusal) {
            confirmation.completeExceptionally(refusal);
        }
        return confirmation;
    }

    /**
     * Returns the age of the last word of a majority that this host leads, counted from the time at which it was asked for.
     * Unlike {@link #confirmLeadership} it asks nobody; each heartbeat renews it.
     *
     * @return the age in milliseconds; {@link Long#MAX_VALUE} if this host does not lead, or has offered the leadership
     */
    public long majorityAge() {
        return stopped || log.hasOfferedLeadership() ? Long.MAX_VALUE : contact.age(log, clock.milliseconds());
    }

    /** Schedules one pass for all inputs that arrive together, so that one sync covers all their entries. */
    private void schedule() {
        if (!processingScheduled && !stopped) {
            processingScheduled = true;
            controlExecutor.execute(this::process);
        }
    }

    private void process() {
        processingScheduled = false;
        if (stopped) {
            return;
        }
        try {
            // A log without other members has nothing to send for a round.
            contact.recordRound(log, clock.milliseconds());
            while (log.hasReady()) {
                Ready ready = log.ready();
                contact.recordRound(log, clock.milliseconds());
                handle(ready);
            }
            notifyRoleChange();
            takeSnapshotIfDue();
        } catch (RuntimeException | Error failure) {
            listener.onFailure(failure);
        }
    }

    private void notifyRoleChange() {
        boolean leading = log.role() == ReplicatedLog.Role.LEADER && appliedTerm == log.term();
        if (log.role() != ReplicatedLog.Role.LEADER) {
            failPending();
        }
        if (leading != leadershipReported) {
            leadershipReported = leading;
            if (leading) {
                listener.onLeadershipAcquired();
            } else {
                listener.onLeadershipLost();
            }
        }
    }

    private void failPending() {
        ControlException lost = stoppedLeading();
        List<CompletableFuture<?>> failed = new ArrayList<>();
        proposals.values().forEach(proposal -> failed.add(proposal.reply));
        failed.addAll(pendingReads.values());
        confirmedReads.values().forEach(failed::addAll);
        proposals.clear();
        pendingReads.clear();
        confirmedReads.clear();
        failed.forEach(future -> future.completeExceptionally(lost));
    }

    private ControlException stoppedLeading() {
        return new ControlException(ErrorCode.LEADERSHIP_LOST, log.self() + " stopped leading");
    }

    private void handle(Ready ready) {
        if (ready.needsPersisting()) {
            storageExecutor.execute(() -> persist(ready));
        }
        ready.messages().forEach(listener::send);
        ready.snapshotReads().forEach(read -> storageExecutor.execute(() -> readSnapshot(read)));
        ready.reads().forEach(read -> {
            CompletableFuture<Void> confirmation = pendingReads.remove(read.context());
            if (confirmation != null) {
                confirmedReads
                        .computeIfAbsent(read.index(), ignored -> new ArrayList<>())
                        .add(confirmation);
            }
        });
        if (!ready.committed().isEmpty()) {
            ready.committed().forEach(this::apply);
            listener.onApplied();
        }
        completeReads();
    }

    private void persist(Ready ready) {
        try {
            storage.persist(ready.hardState(), ready.snapshot(), ready.entries());
            controlExecutor.execute(() -> onPersisted(ready));
        } catch (RuntimeException | Error failure) {
            controlExecutor.execute(() -> listener.onFailure(failure));
        }
    }

    private void onPersisted(Ready ready) {
        if (stopped) {
            return;
        }
        ready.snapshot().ifPresent(this::installFromLeader);
        syncedEntries += ready.entries().size();
        long index = ready.entries().isEmpty() ? 0 : ready.entries().getLast().index();
        long term = ready.entries().isEmpty() ? 0 : ready.entries().getLast().term();
        log.persisted(index, term);
        schedule();
    }

    private void readSnapshot(Ready.SnapshotRead read) {
        try {
            storage.readSnapshot(read.index(), read.stateBytes(), read.offset(), read.length())
                    .ifPresent(part -> controlExecutor.execute(() -> onSnapshotRead(read, part)));
        } catch (RuntimeException | Error failure) {
            controlExecutor.execute(() -> listener.onFailure(failure));
        }
    }

    private void onSnapshotRead(Ready.SnapshotRead read, byte[] part) {
        if (!stopped) {
            log.snapshotRead(read, part);
            schedule();
        }
    }

    private void installFromLeader(LogSnapshot snapshot) {
        long startedAt = clock.milliseconds();
        install(snapshot);
        LOG.log(
                Event.SNAPSHOT_INSTALLED,
                "index",
                snapshot.index(),
                "term",
                snapshot.term(),
                "bytes",
                snapshot.state().length,
                "milliseconds",
                clock.milliseconds() - startedAt);
    }

    private void install(LogSnapshot snapshot) {
        state.restore(snapshot.state());
        applied = snapshot.index();
        appliedTerm = snapshot.term();
        snapshots.installed();
        listener.onApplied();
    }

    private void apply(LogEntry entry) {
        Proposal proposal = proposals.remove(entry.index());
        if (entry.kind() == LogEntry.Kind.COMMAND) {
            Message reply = state.apply(entry.data());
            if (proposal != null && proposal.term == entry.term()) {
                proposal.reply.complete(reply);
            } else if (proposal != null) {
                proposal.reply.completeExceptionally(
                        new ControlException(ErrorCode.LEADERSHIP_LOST, "another leader replaced the entry"));
            }
        }
        applied = entry.index();
        appliedTerm = entry.term();
        snapshots.applied(entry.data().length);
    }

    private void completeReads() {
        while (!confirmedReads.isEmpty() && confirmedReads.firstKey() <= applied) {
            confirmedReads.pollFirstEntry().getValue().forEach(confirmation -> confirmation.complete(null));
        }
    }

    private void takeSnapshotIfDue() {
        long now = clock.milliseconds();
        // A snapshot replaces entries of the stored log, so that all applied ones must be in it.
        if (!snapshots.isDue(now, log.membership()) || !log.isDurable(applied)) {
            return;
        }
        SnapshotAttempt attempt = new SnapshotAttempt(
                applied,
                appliedTerm,
                log.membershipAt(applied),
                log.firstRetained(applied, RETAINED_ENTRIES, RETAINED_BYTES),
                snapshots.begin(),
                now);
        LOG.log(Event.SNAPSHOT_STARTED, "index", attempt.index, "term", attempt.term, "attempt", attempt.number);
        Supplier<byte[]> captured = state.capture();
        snapshotExecutor.execute(() -> encode(attempt, captured));
    }

    private void encode(SnapshotAttempt attempt, Supplier<byte[]> captured) {
        try {
            LogSnapshot snapshot = attempt.snapshot(captured.get());
            storageExecutor.execute(() -> store(attempt, snapshot));
        } catch (RejectedExecutionException stopping) {
            // The process is stopping; the log still holds every entry.
        } catch (OutOfMemoryError failure) {
            controlExecutor.execute(() -> onSnapshotFailed(attempt, failure));
        } catch (RuntimeException | Error failure) {
            controlExecutor.execute(() -> listener.onFailure(failure));
        }
    }

    private void store(SnapshotAttempt attempt, LogSnapshot snapshot) {
        try {
            OptionalLong bytes = storage.compact(snapshot, attempt.firstRetained);
            controlExecutor.execute(() -> onSnapshotStored(attempt, snapshot, bytes));
        } catch (RuntimeException | Error failure) {
            boolean isUnharmed = failure instanceof StorageException storageFailure
                    && storageFailure.code() == ErrorCode.SNAPSHOT_NOT_WRITTEN;
            controlExecutor.execute(() -> {
                if (isUnharmed) {
                    onSnapshotFailed(attempt, failure);
                } else {
                    listener.onFailure(failure);
                }
            });
        }
    }

    private void onSnapshotStored(SnapshotAttempt attempt, LogSnapshot snapshot, OptionalLong bytes) {
        snapshots.succeeded();
        log.compact(snapshot, attempt.firstRetained);
        if (bytes.isEmpty()) {
            return;
        }
        storedSnapshotBytes = bytes;
        snapshotStoredAt = clock.milliseconds();
        LOG.log(
                Event.SNAPSHOT_STORED,
                "index",
                attempt.index,
                "term",
                attempt.term,
                "bytes",
                bytes.getAsLong(),
                "milliseconds",
                snapshotStoredAt - attempt.startedAt,
                "attempt",
                attempt.number);
    }

    private void onSnapshotFailed(SnapshotAttempt attempt, Throwable failure) {
        long now = clock.milliseconds();
        long delay = snapshots.failed(now);
        LOG.log(
                Event.SNAPSHOT_FAILED,
                failure,
                "index",
                attempt.index,
                "term",
                attempt.term,
                "milliseconds",
                now - attempt.startedAt,
                "attempt",
                attempt.number,
                "delayMilliseconds",
                delay);
    }

    /** A snapshot in progress, with the monotonic time of its start in milliseconds. Immutable. */
    private record SnapshotAttempt(
            long index, long term, Membership membership, long firstRetained, int number, long startedAt) {
        LogSnapshot snapshot(byte[] encodedState) {
            return new LogSnapshot(index, term, membership, encodedState);
        }
    }

    /** A proposal whose entry is not applied yet, with the term in which it was proposed. Immutable. */
    private record Proposal(long term, CompletableFuture<Message> reply) {}
}
