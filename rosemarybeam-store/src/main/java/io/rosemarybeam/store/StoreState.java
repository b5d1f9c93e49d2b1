package io.rosemarybeam.store;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.PushConfiguration;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.control.StateMachine;

/**
 * The replicated state of the store hosts.
 *
 * <p>Invariants: the configuration version and each weight version only rise; equal commands in equal order give equal
 * states. Confined to the thread of the log's driver.
 */
final class StoreState implements StateMachine {
    private Optional<PushConfiguration> configuration = Optional.empty();
    private final TreeMap<ModelName, Long> versions = new TreeMap<>();
    private final Map<SubmissionId, KeptSubmission> submissions = new LinkedHashMap<>();
    private final TreeMap<String, String> hostByName = new TreeMap<>();
    private final TreeSet<String> retiring = new TreeSet<>();
    private long time;
    private Listener listener = new Listener() {};

    /** Learns what the commands change. Called on the thread of the log's driver. */
    interface Listener {
        /** Learns that a submission was accepted. */
        default void accepted(KeptSubmission submission) {}

        /** Learns that a submission was ended. */
        default void ended(KeptSubmission submission) {}

        /** Learns that results were listed. */
        default void listed(KeptSubmission submission) {}
    }

    void listen(Listener next) {
        listener = next;
    }

    Optional<PushConfiguration> configuration() {
        return configuration;
    }

    Map<ModelName, Long> versions() {
        return versions;
    }

    Collection<KeptSubmission> submissions() {
        return submissions.values();
    }

    Optional<KeptSubmission> submission(SubmissionId id) {
        return Optional.ofNullable(submissions.get(id));
    }

    /** Host addresses by name. */
    Map<String, String> hostByName() {
        return hostByName;
    }

    /** Names of the hosts that are to be emptied. */
    Set<String> retiring() {
        return retiring;
    }

    /** Time of the last applied command, in milliseconds of leader time. */
    long time() {
        return time;
    }

    @Override
    public Message apply(byte[] command) {
        StoreCommand.Timed timed = StoreCommand.decode(command);
        time = Math.max(time, timed.leaderTime());
        return switch (timed.command()) {
            case StoreCommand.PutConfiguration put -> putConfiguration(put);
            case StoreCommand.PutVersion put -> {
                versions.merge(put.model(), put.version(), Math::max);
                yield StoreReply.of(Outcome.DONE);
            }
            case StoreCommand.AcceptSubmission accept -> accept(accept);
            case StoreCommand.ListResults list -> listResults(list);
            case StoreCommand.KeepTexts keep -> keepTexts(keep);
            case StoreCommand.CloseSubmission close -> close(close);
            case StoreCommand.ForgetSubmissions forget -> {
                forget.submissions().forEach(submissions::remove);
                yield StoreReply.of(Outcome.DONE);
            }
            case StoreCommand.NameHost name -> nameHost(name);
            case StoreCommand.Retire retire -> {
                retiring.add(retire.name());
                yield StoreReply.of(Outcome.IN_PROGRESS);
            }
        };
    }

    private StoreReply putConfiguration(StoreCommand.PutConfiguration put) {
        boolean isHigher =
                configuration.map(held -> held.version() < put.version()).orElse(true);
        if (isHigher) {
            configuration = Optional.of(new PushConfiguration(put.version(), put.text()));
        }
        return StoreReply.of(Outcome.DONE);
    }

    private StoreReply accept(StoreCommand.AcceptSubmission accept) {
        SubmissionId id = accept.submission().id();
        if (!submissions.containsKey(id)) {
            KeptSubmission kept = new KeptSubmission(accept.submission(), accept.routeName(), time);
            submissions.put(id, kept);
            listener.accepted(kept);
        }
        return StoreReply.of(Outcome.DONE);
    }

    private StoreReply listResults(StoreCommand.ListResults list) {
        KeptSubmission kept = submissions.get(list.submission());
        if (kept == null) {
            return StoreReply.of(Outcome.UNKNOWN);
        }
        list.results().forEach(kept::list);
        listener.listed(kept);
        return StoreReply.of(Outcome.DONE);
    }

    private StoreReply keepTexts(StoreCommand.KeepTexts keep) {
        KeptSubmission kept = submissions.get(keep.submission());
        if (kept == null) {
            return StoreReply.of(Outcome.UNKNOWN);
        }
        keep.texts().forEach(text -> kept.keep(text.item(), text.part()));
        return StoreReply.of(Outcome.DONE);
    }

    private StoreReply close(StoreCommand.CloseSubmission close) {
        KeptSubmission kept = submissions.get(close.submission());
        if (kept == null) {
            return StoreReply.of(Outcome.UNKNOWN);
        }
        if (!kept.isEnded()) {
            kept.end();
            listener.ended(kept);
        }
        return StoreReply.of(Outcome.DONE);
    }

    /** A host that comes again under a retired name is a new one. */
    private StoreReply nameHost(StoreCommand.NameHost name) {
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
        hostByName.clear();
        retiring.clear();
        if (snapshot.length == 0) {
            return;
        }
        Snapshot stored = MessageCodec.decode(snapshot, Snapshot.class);
        time = stored.time;
        configuration = Optional.ofNullable(stored.configuration);
        stored.versions.forEach(version -> versions.put(version.model, version.version));
        stored.submissions.forEach(kept -> submissions.put(kept.submission().id(), KeptSubmission.of(kept)));
        hostByName.putAll(stored.hostByName);
        retiring.addAll(stored.retiring);
    }

    @Override
    public Supplier<byte[]> capture() {
        Snapshot snapshot = new Snapshot(
                time,
                configuration.orElse(null),
                versions.entrySet().stream()
                        .map(entry -> new ModelVersion(entry.getKey(), entry.getValue()))
                        .toList(),
                submissions.values().stream().map(KeptSubmission::store).toList(),
                Map.copyOf(hostByName),
                List.copyOf(retiring));
        return () -> MessageCodec.encode(snapshot);
    }

    /** A named weight version. Immutable. */
    record ModelVersion(ModelName model, long version) {}

    /** Form of the state in a snapshot. Immutable. */
    record Snapshot(
            long time,
            PushConfiguration configuration,
            List<ModelVersion> versions,
            List<KeptSubmission.Stored> submissions,
            Map<String, String> hostByName,
            List<String> retiring) {}
}
