package io.rosemarybeam.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.StoreMessage.StoreStatus;
import io.rosemarybeam.common.wire.StoreMessage.UsageReceived;
import io.rosemarybeam.common.wire.StoreMessage.UsageRecords;
import io.rosemarybeam.decision.usage.ClockConsensus;
import io.rosemarybeam.decision.usage.UsageWindows;
import io.rosemarybeam.forward.Forwarder;

/**
 * Reports to the provider how many requests of each workspace ran in each window, while this host is the leader.
 *
 * <p>Invariants: only reports that are committed are sent, and the first one that is committed for a window is the only one, so
 * that no two different reports of a window are sent by any leader; they are sent one at a time, oldest first. Confined to the
 * thread of the log driver.
 */
final class UsageReports {
    /** Hosts whose clocks must be known: the smallest number of which one may be wrong. */
    private static final int MINIMUM_CLOCKS = 3;

    /** Delay after a call to which the provider gave no useful answer, in milliseconds. */
    private static final long RETRY_DELAY_MILLISECONDS = 300;

    /** Status of a report that the provider refuses for good. */
    private static final int STATUS_REFUSED_FOR_GOOD = 400;

    private static final EventLog LOG = EventLog.of(UsageReports.class);

    private final String ownName;
    private final long windowMilliseconds;
    private final StoreState state;
    private final BooleanSupplier allCollectUsage;
    private final BiConsumer<StoreCommand, Consumer<StoreReply>> propose;
    private final ProviderCalls calls;
    private final ProviderMetrics metrics;
    private final ClockConsensus clocks = new ClockConsensus();
    private final UsageWindows windows;

    /** Closed windows whose reports are not stored yet, in ascending order. */
    private final Deque<UsageWindows.Closed> unstored = new ArrayDeque<>();

    /** Windows that need no further call, and whose reports are not removed yet; with whether the removal is proposed. */
    private final Map<Long, Boolean> finished = new TreeMap<>();

    private boolean storing;
    private boolean calling;
    private long nextCallAt = Long.MIN_VALUE;
    private long reportedLate;

    /**
     * Creates the reports of a new leader.
     *
     * @param ownName name of this host
     * @param windowMilliseconds length of a window
     * @param leaderSince monotonic time at which this host became leader, in milliseconds
     * @param state the applied state
     * @param allCollectUsage whether all members of the log know the commands of reports
     * @param propose proposes a command
     * @param calls sends the reports
     * @param metrics counts reports and late records
     */
    UsageReports(
            String ownName,
            long windowMilliseconds,
            long leaderSince,
            StoreState state,
            BooleanSupplier allCollectUsage,
            BiConsumer<StoreCommand, Consumer<StoreReply>> propose,
            ProviderCalls calls,
            ProviderMetrics metrics) {
        this.ownName = ownName;
        this.windowMilliseconds = windowMilliseconds;
        this.state = state;
        this.allCollectUsage = allCollectUsage;
        this.propose = propose;
        this.calls = calls;
        this.metrics = metrics;
        this.windows = new UsageWindows(windowMilliseconds, leaderSince, state.highestUsageWindow());
    }

    /** Learns the wall clock of another store host. */
    void receive(StoreStatus status, long now) {
        if (status.wallClock() > 0) {
            clocks.record(status.host(), status.wallClock(), now);
        }
    }

    /** Takes the records of an edge; those that came before are dropped. */
    UsageReceived receive(UsageRecords message, long now) {
        long sentAt = clocks.record(message.host(), message.wallClock(), now);
        List<UsageWindows.Started> started = message.records().stream()
                .map(record -> new UsageWindows.Started(record.workspace(), record.ageMilliseconds()))
                .toList();
        long next = windows.add(message.host(), message.incarnation(), message.firstSequence(), started, sentAt);
        return new UsageReceived(message.incarnation(), next);
    }

    /** Closes windows, and sends the oldest report; to be called periodically. */
    void tick() {
        long now = Forwarder.now();
        clocks.record(ownName, System.currentTimeMillis(), now);
        OptionalLong offset = clocks.offset(MINIMUM_CLOCKS, now);
        if (offset.isEmpty()) {
            return;
        }
        if (allCollectUsage.getAsBoolean()) {
            unstored.addAll(windows.close(now, offset.getAsLong()));
            storeNext();
            dropExpired(now + offset.getAsLong());
            removeFinished();
        } else {
            windows.discardOld(now, offset.getAsLong());
        }
        logLateRecords();
        callNext(now);
    }

    /** Stores one report after the other: a later one that were committed first would keep the earlier one out for good. */
    private void storeNext() {
        UsageWindows.Closed next = unstored.peekFirst();
        if (next == null || storing) {
            return;
        }
        storing = true;
        List<StoreCommand.UsageCount> counts = next.counts().entrySet().stream()
                .map(entry -> new StoreCommand.UsageCount(entry.getKey(), entry.getValue()))
                .toList();
        propose.accept(new StoreCommand.PutUsageReport(next.window(), counts), reply -> {
            storing = false;
            if (reply.outcome() == Outcome.DONE) {
                unstored.removeFirst();
                LOG.log(
                        Event.USAGE_REPORT_STORED,
                        "window",
                        next.window(),
                        "requests",
                        next.counts().values().stream()
                                .mapToLong(Long::longValue)
                                .sum(),
                        "workspaces",
                        next.counts().size(),
                        "clocks",
                        clocks.hosts());
            }
        });
    }

    private void dropExpired(long trueTime) {
        for (long window : List.copyOf(state.usageReports().keySet())) {
            long end = (window + 1) * windowMilliseconds;
            if (trueTime - end <= UsageWindows.MAXIMUM_REPORT_AGE_MILLISECONDS) {
                return;
            }
            finish(window, "dropped");
        }
    }

    private void finish(long window, String outcome) {
        if (finished.putIfAbsent(window, false) == null) {
            metrics.reportFinished(outcome);
            LOG.log(Event.USAGE_REPORT_FINISHED, "window", window, "outcome", outcome);
        }
    }

    private void removeFinished() {
        finished.keySet().retainAll(state.usageReports().keySet());
        Map.copyOf(finished).forEach((window, isProposed) -> {
            if (!isProposed) {
                finished.put(window, true);
                propose.accept(new StoreCommand.CompleteUsageReport(window), reply -> {
                    if (reply.outcome() != Outcome.DONE) {
                        finished.computeIfPresent(window, (ignored, proposed) -> false);
                    }
                });
            }
        });
    }

    private void callNext(long now) {
        if (calling || now < nextCallAt || !calls.isReady()) {
            return;
        }
        Optional<Map.Entry<Long, List<StoreCommand.UsageCount>>> oldest = state.usageReports().entrySet().stream()
                .filter(report -> !finished.containsKey(report.getKey()))
                .findFirst();
        if (oldest.isPresent()) {
            long window = oldest.get().getKey();
            SortedMap<WorkspaceName, Long> counts = new TreeMap<>();
            oldest.get().getValue().forEach(count -> counts.put(count.workspace(), count.count()));
            calling = true;
            calls.send(new ProviderCall.ReportUsage(window, counts), reply -> onReply(window, reply));
        }
    }

    private void onReply(long window, ProviderReply reply) {
        calling = false;
        switch (reply) {
            case ProviderReply.Accepted ignored -> finish(window, "accepted");
            case ProviderReply.Refused refused -> {
                if (refused.status() == STATUS_REFUSED_FOR_GOOD) {
                    finish(window, "refused");
                } else {
                    nextCallAt = Forwarder.now() + RETRY_DELAY_MILLISECONDS;
                }
            }
            case ProviderReply.Busy ignored -> nextCallAt = Forwarder.now() + RETRY_DELAY_MILLISECONDS;
            case ProviderReply.Unanswered ignored -> nextCallAt = Forwarder.now() + RETRY_DELAY_MILLISECONDS;
            case ProviderReply.Withheld ignored -> nextCallAt = Forwarder.now() + RETRY_DELAY_MILLISECONDS;
        }
    }

    private void logLateRecords() {
        long late = windows.lateRecords() - reportedLate;
        if (late > 0) {
            reportedLate += late;
            metrics.recordsLate(late);
            LOG.log(Event.USAGE_RECORDS_DROPPED, "records", late, "reason", "their windows were closed");
        }
    }
}
