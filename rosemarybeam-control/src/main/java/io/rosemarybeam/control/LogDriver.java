package io.rosemarybeam.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
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
 * Connects the replicated log with its storage, the other control hosts and the state machine.
 *
 * <p>Invariants: storage is used by one task at a time on the storage executor; everything else runs on the control
 * executor. A proposal completes once its entry is applied, or fails when this host stops leading.
 */
public final class LogDriver {
    /** Entries after which a snapshot is taken. */
    private static final int SNAPSHOT_ENTRIES = 4_096;

    /** Bytes of entries after which a snapshot is taken. */
    private static final long SNAPSHOT_BYTES = 4L * 1024 * 1024;

    /** Entries that stay in memory before a snapshot for hosts that are a little behind. */
    private static final int RETAINED_ENTRIES = 1_024;

    /** Bytes of entries that stay in memory before a snapshot. */
    private static final int RETAINED_BYTES = 1_048_576;

    private static final byte[] INITIAL_STATE = {};

    private final Executor controlExecutor;
    private final Executor storageExecutor;
    private final LogStorage storage;
    private final StateMachine state;
    private final Listener listener;
    private final TreeMap<Long, Proposal> proposals = new TreeMap<>();
    private final Map<Long, CompletableFuture<Void>> pendingReads = new HashMap<>();
    private final TreeMap<Long, List<CompletableFuture<Void>>> confirmedReads = new TreeMap<>();
    private ReplicatedLog log;
    private long applied;
    private long appliedTerm;
    private long entriesSinceSnapshot;
    private long bytesSinceSnapshot;
    private long lastReadId;
    private long syncedEntries;
    private boolean snapshotInProgress;
    private boolean processingScheduled;
    private boolean stopped;
    private boolean leadershipReported;

    /** Learns what the log does. Called on the control executor. */
    public interface Listener {
        /**
         * Sends a message to another control host.
         *
         * @param envelope the message
         */
        void send(Envelope envelope);

        /** Learns that commands were applied or a snapshot was installed. */
        void onApplied();

        /** Learns that this host leads and has applied every entry of former leaders. */
        void onLeadershipAcquired();

        /** Learns that this host does not lead any more. */
        void onLeadershipLost();

        /**
         * Learns that storage failed; the process must stop.
         *
         * @param failure the failure
         */
        void onFailure(Throwable failure);
    }

    /**
     * Creates a driver.
     *
     * @param controlExecutor runs everything but the storage
     * @param storageExecutor runs the storage, one task at a time
     * @param storage where the log is kept
     * @param log the log
     * @param snapshot the snapshot that the storage holds
     * @param state what the commands change
     * @param listener learns what the log does
     */
    public LogDriver(
            Executor controlExecutor,
            Executor storageExecutor,
            LogStorage storage,
            ReplicatedLog log,
            Optional<LogSnapshot> snapshot,
            StateMachine state,
            Listener listener) {
        this.controlExecutor = controlExecutor;
        this.storageExecutor = storageExecutor;
        this.storage = storage;
        this.log = log;
        this.state = state;
        this.listener = listener;
        snapshot.ifPresent(this::install);
    }

    /**
     * Returns the log.
     *
     * @return the log
     */
    public ReplicatedLog log() {
        return log;
    }

    /**
     * Returns the last applied entry.
     *
     * @return its index
     */
    public long applied() {
        return applied;
    }

    /**
     * Returns how many entries were synced.
     *
     * @return the number since the start
     */
    public long syncedEntries() {
        return syncedEntries;
    }

    /**
     * Writes the first log of a new deployment to the storage of an empty host and uses it.
     *
     * @param options timing and sizes
     * @param members the first members, the same on all hosts that start the log
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
            } catch (RuntimeException failure) {
                controlExecutor.execute(() -> listener.onFailure(failure));
            }
        });
    }

    /** Stops; outstanding proposals and reads fail. */
    public void stop() {
        stopped = true;
        failPending();
    }

    /** Advances the time of the log by one tick. */
    public void tick() {
        log.tick();
        schedule();
    }

    /**
     * Receives a message of another host.
     *
     * @param envelope the message
     */
    public void receive(Envelope envelope) {
        log.receive(envelope);
        schedule();
    }

    /**
     * Proposes a command.
     *
     * @param command the command
     * @return completes with the reply once it is applied, or with a {@link ControlException}
     */
    public CompletableFuture<Message> propose(byte[] command) {
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
     * Starts to hand leadership over.
     *
     * @param target the next leader
     */
    public void transferLeadership(MemberId target) {
        log.transferLeadership(target);
        schedule();
    }

    /**
     * Completes once a majority has confirmed that this host led after the call, and the state is at least as new.
     *
     * @param withHeartbeat whether to wait for the next heartbeat, which costs no message of its own
     * @return completes with nothing, or with a {@link ControlException}
     */
    public CompletableFuture<Void> confirmLeadership(boolean withHeartbeat) {
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

    /** Inputs that arrive together are handled by one pass, so that one sync carries all their entries. */
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
            while (log.hasReady()) {
                handle(log.ready());
            }
            notifyRoleChange();
            takeSnapshotIfDue();
        } catch (RuntimeException failure) {
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
        ControlException lost = new ControlException(ErrorCode.LEADERSHIP_LOST, log.self() + " stopped leading");
        List<CompletableFuture<?>> failed = new ArrayList<>();
        proposals.values().forEach(proposal -> failed.add(proposal.reply));
        failed.addAll(pendingReads.values());
        confirmedReads.values().forEach(failed::addAll);
        proposals.clear();
        pendingReads.clear();
        confirmedReads.clear();
        failed.forEach(future -> future.completeExceptionally(lost));
    }

    private void handle(Ready ready) {
        if (ready.needsPersisting()) {
            storageExecutor.execute(() -> persist(ready));
        }
        ready.messages().forEach(listener::send);
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
            controlExecutor.execute(() -> persisted(ready));
        } catch (RuntimeException failure) {
            controlExecutor.execute(() -> listener.onFailure(failure));
        }
    }

    private void persisted(Ready ready) {
        if (stopped) {
            return;
        }
        ready.snapshot().ifPresent(this::install);
        syncedEntries += ready.entries().size();
        long index = ready.entries().isEmpty() ? 0 : ready.entries().getLast().index();
        long term = ready.entries().isEmpty() ? 0 : ready.entries().getLast().term();
        log.persisted(index, term);
        schedule();
    }

    private void install(LogSnapshot snapshot) {
        state.restore(snapshot.state());
        applied = snapshot.index();
        appliedTerm = snapshot.term();
        entriesSinceSnapshot = 0;
        bytesSinceSnapshot = 0;
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
        entriesSinceSnapshot++;
        bytesSinceSnapshot += entry.data().length;
    }

    private void completeReads() {
        while (!confirmedReads.isEmpty() && confirmedReads.firstKey() <= applied) {
            confirmedReads.pollFirstEntry().getValue().forEach(confirmation -> confirmation.complete(null));
        }
    }

    private void takeSnapshotIfDue() {
        boolean due = entriesSinceSnapshot >= SNAPSHOT_ENTRIES || bytesSinceSnapshot >= SNAPSHOT_BYTES;
        if (!due || snapshotInProgress) {
            return;
        }
        snapshotInProgress = true;
        entriesSinceSnapshot = 0;
        bytesSinceSnapshot = 0;
        long index = applied;
        long term = appliedTerm;
        Membership membership = log.membershipAt(index);
        long firstRetained = log.firstKept(index, RETAINED_ENTRIES, RETAINED_BYTES);
        Supplier<byte[]> captured = state.capture();
        // Encoding a state at its bounds takes longer than an election timeout, so neither control nor storage waits.
        Thread.ofPlatform().name("snapshot").daemon().start(() -> {
            try {
                LogSnapshot snapshot = new LogSnapshot(index, term, membership, captured.get());
                storageExecutor.execute(() -> store(snapshot, firstRetained));
            } catch (RejectedExecutionException stopping) {
                // The process is stopping; the log still holds every entry.
            } catch (RuntimeException failure) {
                controlExecutor.execute(() -> listener.onFailure(failure));
            }
        });
    }

    private void store(LogSnapshot snapshot, long firstRetained) {
        try {
            storage.compact(snapshot, firstRetained);
            controlExecutor.execute(() -> {
                snapshotInProgress = false;
                log.compact(snapshot, firstRetained);
            });
        } catch (RuntimeException failure) {
            controlExecutor.execute(() -> listener.onFailure(failure));
        }
    }

    /** A proposal whose entry is not applied yet. Immutable. */
    private record Proposal(long term, CompletableFuture<Message> reply) {}
}
