package io.rosemarybeam.edge;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.StoreMessage.UsageReceived;
import io.rosemarybeam.common.wire.StoreMessage.UsageRecord;
import io.rosemarybeam.common.wire.StoreMessage.UsageRecords;
import io.rosemarybeam.edge.StoreSessions.UsageCollector;
import io.rosemarybeam.forward.ForwardRequest;
import io.rosemarybeam.forward.ForwardRequest.HandedOn;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.forward.RunListener;

/**
 * Records which requests of workspaces have begun to run, and delivers the records to the leader of the store hosts.
 *
 * <p>Invariants: records are numbered without gaps in the order in which they are made; each message begins with the oldest
 * record that the leader has not answered, so that the leader can drop repeated ones by their number. Nothing is sent before the
 * first record, nor to a leader that does not collect records. Confined to its event loop.
 */
final class UsageRecorder implements RunListener {
    /** Age of the records that a new leader gets again, in milliseconds; their windows may be open. */
    private static final long REPEATED_MILLISECONDS = 30_000;

    /** Age at which a record that no leader has answered is dropped, in milliseconds. */
    private static final long MAXIMUM_AGE_MILLISECONDS = 60_000;

    /** Interval of messages without new records, which tell the leader the wall clock of this host, in milliseconds. */
    private static final long IDLE_INTERVAL_MILLISECONDS = 2_000;

    /** Timeout of a reply; a round trip takes about 10 ms, and a message is repeated after it. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(500);

    /** Maximum number of records in one message; it has about 100 kilobytes. */
    private static final int MAXIMUM_RECORDS = 4_000;

    private static final EventLog LOG = EventLog.of(UsageRecorder.class);

    private final Executor loop;
    private final String host;
    private final long incarnation = new SecureRandom().nextLong();
    private final Supplier<Optional<UsageCollector>> collectors;
    private final Counter recorded;
    private final Counter dropped;

    /** Records that may have to be sent, in the order of their numbers. */
    private final Deque<Entry> entries = new ArrayDeque<>();

    private long nextSequence;

    /** Number of the first record that the current leader has not answered. */
    private long unanswered;

    private String lastCollector = "";
    private long sentAt;
    private boolean awaitsReply;

    /**
     * Creates a recorder without records.
     *
     * @param loop the event loop
     * @param host name of this host
     * @param collectors returns the leader, if it collects records and callers have workspaces
     * @param metrics counts records
     */
    UsageRecorder(Executor loop, String host, Supplier<Optional<UsageCollector>> collectors, Metrics metrics) {
        this.loop = loop;
        this.host = host;
        this.collectors = collectors;
        this.recorded = metrics.counter("usage_records", "Requests of workspaces that began to run.");
        this.dropped =
                metrics.counter("usage_dropped_records", "Records of requests that no leader has taken in time.");
    }

    /**
     * Records a request. One that another edge has handed on after attempts of its own is counted there, because its first
     * attempt may have run.
     */
    @Override
    public void requestRan(ForwardRequest request, long requestSentAt) {
        boolean isCountedElsewhere = request.handedOn().map(HandedOn::attempts).orElse(0) > 0;
        if (!isCountedElsewhere) {
            request.workspace().ifPresent(workspace -> record(workspace.name(), requestSentAt));
        }
    }

    private void record(WorkspaceName workspace, long startedAt) {
        entries.addLast(new Entry(nextSequence, workspace, startedAt));
        nextSequence++;
        recorded.inc();
    }

    /** Sends what is due; to be called periodically, at least as often as records are to be delivered. */
    void tick() {
        long now = Forwarder.now();
        dropOld(now);
        Optional<UsageCollector> collector = collectors.get();
        if (collector.isEmpty()) {
            return;
        }
        String identity = collector.get().identity();
        if (!identity.equals(lastCollector)) {
            lastCollector = identity;
            unanswered = entries.isEmpty() ? nextSequence : entries.getFirst().sequence;
            sentAt = now - IDLE_INTERVAL_MILLISECONDS;
            awaitsReply = false;
        }
        boolean isDue = unanswered < nextSequence || now - sentAt >= IDLE_INTERVAL_MILLISECONDS;
        if (isDue && !awaitsReply) {
            send(collector.get(), now);
        }
    }

    private void dropOld(long now) {
        long lost = 0;
        while (!entries.isEmpty()) {
            Entry oldest = entries.getFirst();
            boolean isAnswered = oldest.sequence < unanswered;
            long maximumAge = isAnswered ? REPEATED_MILLISECONDS : MAXIMUM_AGE_MILLISECONDS;
            if (now - oldest.startedAt <= maximumAge) {
                break;
            }
            entries.removeFirst();
            lost += isAnswered ? 0 : 1;
        }
        if (lost > 0) {
            unanswered = entries.isEmpty() ? nextSequence : Math.max(unanswered, entries.getFirst().sequence);
            dropped.inc(lost);
            LOG.log(Event.USAGE_RECORDS_DROPPED, "records", lost, "reason", "no leader has taken them in time");
        }
    }

    private void send(UsageCollector collector, long now) {
        long first = unanswered;
        List<UsageRecord> records = new ArrayList<>();
        for (Entry entry : entries) {
            if (entry.sequence >= first && records.size() < MAXIMUM_RECORDS) {
                records.add(new UsageRecord(entry.workspace, now - entry.startedAt));
            }
        }
        sentAt = now;
        awaitsReply = true;
        UsageRecords message = new UsageRecords(host, incarnation, System.currentTimeMillis(), first, records);
        collector
                .connection()
                .apply(message, REPLY_TIMEOUT)
                .whenCompleteAsync((reply, failure) -> onReply(collector.identity(), reply), loop);
    }

    /** Handles the reply, or its absence; the reply of a former leader says nothing about the current one. */
    private void onReply(String identity, Message reply) {
        if (!identity.equals(lastCollector)) {
            return;
        }
        awaitsReply = false;
        if (reply instanceof UsageReceived received && received.incarnation() == incarnation) {
            unanswered = Math.max(unanswered, Math.min(received.nextSequence(), nextSequence));
        }
    }

    /** A request that began to run, by the monotonic time in milliseconds. Immutable. */
    private record Entry(long sequence, WorkspaceName workspace, long startedAt) {}
}
