package io.rosemarybeam.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.PushConfiguration;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.control.StateMachine;
import io.rosemarybeam.decision.scaling.ReplicaGroup;

/**
 * The replicated state of the store hosts.
 *
 * <p>Invariants: the configuration version and each weight version only increase; the state is deterministic, so hosts that
 * apply the same commands in the same order have equal states. Confined to the thread of the log driver.
 */
final class StoreState implements StateMachine {
    private Optional<PushConfiguration> configuration = Optional.empty();
    private final TreeMap<ModelName, Long> versions = new TreeMap<>();
    private final Map<SubmissionId, StoredSubmission> submissions = new LinkedHashMap<>();
    private final TreeMap<String, String> hostByName = new TreeMap<>();
    private final TreeSet<String> retiring = new TreeSet<>();
    private final Map<ServiceName, Map<ReplicaGroup, Integer>> replicaOrders = new HashMap<>();
    private final TreeMap<Long, List<StoreCommand.UsageCount>> usageReports = new TreeMap<>();

    /** The highest window whose report was stored; null before the first one. */
    private Long highestUsageWindow;

    private StoredBytes storedBytes = StoredBytes.NONE;
    private long lastLeaderTime;
    private Listener listener = new Listener() {};

    /** Is notified after a command has changed a submission. Called on the thread of the log driver. */
    interface Listener {
        /** Called once for each submission, not for a resent one. */
        default void accepted(StoredSubmission submission) {}

        /** Called once when the trainer has ended a submission. */
        default void ended(StoredSubmission submission) {}

        /** Called after results were added to a submission. */
        default void listed(StoredSubmission submission) {}
    }

    void setListener(Listener next) {
        listener = next;
    }

    Optional<PushConfiguration> configuration() {
        return configuration;
    }

    Map<ModelName, Long> versions() {
        return versions;
    }

    Collection<StoredSubmission> submissions() {
        return submissions.values();
    }

    Optional<StoredSubmission> submission(SubmissionId id) {
        return Optional.ofNullable(submissions.get(id));
    }

    /**
     * Returns an estimate of what the state takes on the heap, with what its open items will add. It is not a part of the state:
     * releases may estimate differently.
     *
     * @return the size, in bytes
     */
    long expectedBytes() {
        return expectedBytesWith(StoredBytes.NONE);
    }

    /**
     * Returns the estimate of {@link #expectedBytes} for a state with further submissions.
     *
     * @param added size of these submissions
     * @return the size, in bytes
     */
    long expectedBytesWith(StoredBytes added) {
        return storedBytes.plus(added).expectedBytes()
                + configuration.map(newest -> newest.text().length).orElse(0);
    }

    /** Returns the IP numbers of the store hosts by name. */
    Map<String, String> hostByName() {
        return hostByName;
    }

    /** Returns the names of the hosts whose retirement was started. */
    Set<String> retiring() {
        return retiring;
    }

    /** Returns the last ordered number of replicas of a service by group; empty if none were ordered. */
    Map<ReplicaGroup, Integer> replicaOrders(ServiceName service) {
        return replicaOrders.getOrDefault(service, Map.of());
    }

    /** Returns the unfinished reports of use by window, in ascending order. */
    SortedMap<Long, List<StoreCommand.UsageCount>> usageReports() {
        return Collections.unmodifiableSortedMap(usageReports);
    }

    /** Returns the highest window whose report was stored, finished or not; empty before the first one. */
    OptionalLong highestUsageWindow() {
        return highestUsageWindow == null ? OptionalLong.empty() : OptionalLong.of(highestUsageWindow);
    }

    /** Returns the highest leader time of the applied commands, in milliseconds. */
    long lastLeaderTime() {
        return lastLeaderTime;
    }

    @Override
    public Message apply(byte[] command) {
        StoreCommand.Timed timed = StoreCommand.decode(command);
        lastLeaderTime = Math.max(lastLeaderTime, timed.leaderTime());
        return switch (timed.command()) {
            case StoreCommand.PutConfiguration put -> putConfiguration(put);
            case StoreCommand.PutVersion put -> {
                versions.merge(put.model(), put.version(), Math::max);
                yield StoreReply.of(Outcome.DONE);
            }
            case StoreCommand.AcceptSubmission accept -> accept(accept);
            case StoreCommand.ListResults list -> listResults(list);
            case StoreCommand.KeepTexts keep -> storeTexts(keep);
            case StoreCommand.CloseSubmission close -> close(close);
            case StoreCommand.ForgetSubmissions forget -> {
                forget.submissions().forEach(this::remove);
                yield StoreReply.of(Outcome.DONE);
            }
            case StoreCommand.NameHost name -> setHostName(name);
            case StoreCommand.Retire retire -> {
                retiring.add(retire.name());
                yield StoreReply.of(Outcome.IN_PROGRESS);
            }
            case StoreCommand.PutReplicaOrder put -> {
                putOrder(put);
                yield StoreReply.of(Outcome.DONE);
            }
            case StoreCommand.PutUsageReport put -> putUsageReport(put);
            case StoreCommand.CompleteUsageReport complete -> {
                usageReports.remove(complete.window());
                yield StoreReply.of(Outcome.DONE);
            }
        };
    }

    /** The first report of a window is the only one, because two different ones must never reach the provider. */
    private StoreReply putUsageReport(StoreCommand.PutUsageReport put) {
        if (highestUsageWindow == null || put.window() > highestUsageWindow) {
            highestUsageWindow = put.window();
            usageReports.put(put.window(), put.counts());
        }
        return StoreReply.of(Outcome.DONE);
    }

    private StoreReply putConfiguration(StoreCommand.PutConfiguration put) {
        boolean isHigher =
                configuration.map(current -> current.version() < put.version()).orElse(true);
        if (isHigher) {
            configuration = Optional.of(new PushConfiguration(put.version(), put.text()));
        }
        return StoreReply.of(Outcome.DONE);
    }

    private StoreReply accept(StoreCommand.AcceptSubmission accept) {
        SubmissionId id = accept.submission().id();
        StoredSubmission former = submissions.get(id);
        if (former != null && !former.submission().isOpenTo(accept.submission().workspace())) {
            return StoreReply.of(Outcome.CONFLICT);
        }
        if (former == null) {
            StoredSubmission stored = new StoredSubmission(accept.submission(), accept.routeName(), lastLeaderTime);
            put(stored);
            listener.accepted(stored);
        }
        return StoreReply.of(Outcome.DONE);
    }

    private void put(StoredSubmission stored) {
        submissions.put(stored.submission().id(), stored);
        storedBytes = storedBytes.plus(stored.size());
    }

    private void remove(SubmissionId id) {
        StoredSubmission stored = submissions.remove(id);
        if (stored != null) {
            storedBytes = storedBytes.minus(stored.size());
        }
    }

    private void change(StoredSubmission stored, Runnable change) {
        StoredBytes former = stored.size();
        change.run();
        storedBytes = storedBytes.minus(former).plus(stored.size());
    }

    private StoreReply listResults(StoreCommand.ListResults list) {
        StoredSubmission stored = submissions.get(list.submission());
        if (stored == null) {
            return StoreReply.of(Outcome.UNKNOWN);
        }
        change(stored, () -> list.results().forEach(stored::list));
        listener.listed(stored);
        return StoreReply.of(Outcome.DONE);
    }

    private StoreReply storeTexts(StoreCommand.KeepTexts keep) {
        StoredSubmission stored = submissions.get(keep.submission());
        if (stored == null) {
            return StoreReply.of(Outcome.UNKNOWN);
        }
        change(stored, () -> keep.texts().forEach(text -> stored.appendText(text.item(), text.part())));
        return StoreReply.of(Outcome.DONE);
    }

    private StoreReply close(StoreCommand.CloseSubmission close) {
        StoredSubmission stored = submissions.get(close.submission());
        if (stored == null) {
            return StoreReply.of(Outcome.UNKNOWN);
        }
        if (!stored.isEnded()) {
            change(stored, () -> stored.end(lastLeaderTime));
            listener.ended(stored);
        }
        return StoreReply.of(Outcome.DONE);
    }

    /** A host with another address under the name of a retired host is a new host, so its retirement is cleared. */
    private StoreReply setHostName(StoreCommand.NameHost name) {
        String former = hostByName.put(name.name(), name.host());
        if (former != null && !former.equals(name.host())) {
            retiring.remove(name.name());
        }
        return StoreReply.of(Outcome.DONE);
    }

    @Override
    public void restore(byte[] snapshot) {
        configuration = Optional.empty();
        versions.clear();
        submissions.clear();
        storedBytes = StoredBytes.NONE;
        hostByName.clear();
        retiring.clear();
        replicaOrders.clear();
        usageReports.clear();
        highestUsageWindow = null;
        if (snapshot.length == 0) {
            return;
        }
        Snapshot decoded = MessageCodec.decode(snapshot, Snapshot.class);
        lastLeaderTime = decoded.time;
        configuration = Optional.ofNullable(decoded.configuration);
        decoded.versions.forEach(version -> versions.put(version.model, version.version));
        decoded.submissions.forEach(entry -> put(StoredSubmission.of(entry, decoded.time)));
        hostByName.putAll(decoded.hostByName);
        retiring.addAll(decoded.retiring);
        // Snapshots of earlier releases have no orders.
        Optional.ofNullable(decoded.replicaOrders).orElse(List.of()).forEach(this::putOrder);
        if (decoded.usageReports != null) {
            decoded.usageReports.forEach(report -> usageReports.put(report.window(), report.counts()));
        }
        highestUsageWindow = decoded.highestUsageWindow;
    }

    @Override
    public Supplier<byte[]> capture() {
        Snapshot snapshot = new Snapshot(
                lastLeaderTime,
                configuration.orElse(null),
                versions.entrySet().stream()
                        .map(entry -> new ModelVersion(entry.getKey(), entry.getValue()))
                        .toList(),
                submissions.values().stream().map(StoredSubmission::toSnapshot).toList(),
                Map.copyOf(hostByName),
                List.copyOf(retiring),
                usageReports.entrySet().stream()
                        .map(report -> new StoreCommand.PutUsageReport(report.getKey(), report.getValue()))
                        .toList(),
                highestUsageWindow,
                orders());
        return () -> MessageCodec.encodeLarge(snapshot);
    }

    private void putOrder(StoreCommand.PutReplicaOrder put) {
        replicaOrders
                .computeIfAbsent(put.service(), ignored -> new HashMap<>())
                .put(new ReplicaGroup(put.failureDomain(), put.preemptible()), put.count());
    }

    private List<StoreCommand.PutReplicaOrder> orders() {
        List<StoreCommand.PutReplicaOrder> orders = new ArrayList<>();
        replicaOrders.forEach((service, counts) -> counts.forEach((group, count) -> orders.add(
                new StoreCommand.PutReplicaOrder(service, group.failureDomain(), count, group.preemptible()))));
        return orders;
    }

    /** The latest published weight version of a model. Immutable. */
    record ModelVersion(ModelName model, long version) {}

    /** Serialized form of the state in a snapshot; builds before the reports of use omit the last components. Immutable. */
    record Snapshot(
            long time,
            PushConfiguration configuration,
            List<ModelVersion> versions,
            List<StoredSubmission.Snapshot> submissions,
            Map<String, String> hostByName,
            List<String> retiring,
            List<StoreCommand.PutUsageReport> usageReports,
            Long highestUsageWindow,
            List<StoreCommand.PutReplicaOrder> replicaOrders) {}
}
