package io.rosemarybeam.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.error.StorageException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.ServiceVersion;
import io.rosemarybeam.common.wire.StoreMessage.FindStream;
import io.rosemarybeam.common.wire.StoreMessage.StreamReply;
import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.common.wire.VersionHistory;
import io.rosemarybeam.consensus.storage.FileSystem;
import io.rosemarybeam.consensus.storage.RecordJournal;
import io.rosemarybeam.consensus.storage.RecordJournal.Content;
import io.rosemarybeam.decision.routing.SoftwareVersions;
import io.rosemarybeam.decision.routing.StreamOriginTable;
import io.rosemarybeam.forward.Forwarder;

/**
 * What this host knows of the streams of callers: what began each of them, and which software versions served lately. It is kept
 * on disk, so that streams go on after all processes were killed.
 *
 * <p>Invariants: facts are in memory at once and on disk some milliseconds later; a failed write is repeated. A host that may
 * have missed a version says so. At most one write is in progress, on a thread of its own, so that a slow disk delays neither the
 * event loop nor the log. Confined to the event loop, apart from that thread.
 */
final class StreamRecords {
    /** Minimum interval between two writes, in milliseconds, so that many streams share a sync. */
    private static final long WRITE_INTERVAL_MILLISECONDS = 20;

    /** Delay after a failed write, in milliseconds. */
    private static final long RETRY_MILLISECONDS = 2_000;

    /** Maximum number of origins that wait for a write, which bounds the memory while the disk is full. */
    private static final int MAXIMUM_WAITING = 100_000;

    private static final long STOP_TIMEOUT_MILLISECONDS = 2_000;

    /** Folder inside the data folder. */
    private static final String FOLDER = "streams";

    /** Time after the start in which edges connect and send what they know, in milliseconds; they try three times a second. */
    private static final long COLLECTION_MILLISECONDS = 2_000;

    private static final EventLog LOG = EventLog.of(StreamRecords.class);

    private final EventLoop loop;
    private final Optional<RecordJournal<StreamFacts>> journal;
    private final StreamOriginTable origins = new StreamOriginTable();
    private final SoftwareVersions versions;
    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "stream-records"));

    /** Origins that are not on disk. */
    private final List<StreamOrigin> waiting = new ArrayList<>();

    /** The history that is on disk or being written. */
    private VersionHistory stored;

    private final long startedAt = Forwarder.now();
    private boolean isWriting;
    private long nextWriteAt;

    private StreamRecords(
            EventLoop loop,
            Optional<RecordJournal<StreamFacts>> journal,
            List<StreamFacts> loaded,
            VersionHistory stored) {
        this.loop = loop;
        this.journal = journal;
        this.stored = stored;
        this.versions = SoftwareVersions.of(stored, Forwarder.now());
        loaded.forEach(facts -> facts.origins().forEach(origin -> origins.add(origin, Long.MAX_VALUE)));
    }

    /**
     * Opens the files of the records.
     *
     * @param dataFolder the data folder of this host
     * @return the files; empty if they cannot be opened, as on a full disk, which prevents no other work of the host
     */
    static Optional<RecordJournal<StreamFacts>> openJournal(Path dataFolder) {
        try {
            FileSystem files = FileSystem.of(dataFolder.resolve(FOLDER));
            return Optional.of(RecordJournal.open(files, StreamFacts.class));
        } catch (StorageException failure) {
            LOG.log(Event.STREAM_RECORDS_NOT_WRITTEN, failure, "folder", FOLDER);
            return Optional.empty();
        }
    }

    /**
     * Restores what this host knew.
     *
     * @param loop the event loop to which the records are confined
     * @param journal the files; empty if they cannot be used, so that nothing outlives this process
     * @param isNewCluster whether the cluster begins with this host, so that no version can have served before
     * @return the records
     */
    static StreamRecords restore(EventLoop loop, Optional<RecordJournal<StreamFacts>> journal, boolean isNewCluster) {
        Content<StreamFacts> content = journal.map(RecordJournal::load).orElse(new Content<>(List.of(), false));
        VersionHistory history = history(content, isNewCluster);
        LOG.log(
                Event.STREAM_RECORDS_LOADED,
                "records",
                content.records().size(),
                "streams",
                content.records().stream()
                        .mapToInt(facts -> facts.origins().size())
                        .sum(),
                "versions",
                history.versions().size(),
                "complete",
                history.isComplete());
        return new StreamRecords(loop, journal, content.records(), history);
    }

    private static VersionHistory history(Content<StreamFacts> content, boolean isNewCluster) {
        Optional<VersionHistory> newest = content.records().stream()
                .flatMap(facts -> facts.versions().stream())
                .reduce((earlier, later) -> later);
        if (newest.isEmpty()) {
            return new VersionHistory(
                    List.of(), isNewCluster && content.records().isEmpty());
        }
        return new VersionHistory(newest.get().versions(), newest.get().isComplete() && content.isWhole());
    }

    /** Records what began streams. */
    void begun(List<StreamOrigin> begun) {
        for (StreamOrigin origin : begun) {
            boolean isKnown =
                    origins.find(origin.request()).filter(origin::equals).isPresent();
            origins.add(origin, Long.MAX_VALUE);
            if (!isKnown && waiting.size() < MAXIMUM_WAITING) {
                waiting.add(origin);
            }
        }
        write();
    }

    /** Records the software version of an endpoint. */
    void heard(EndpointAnnouncement announcement) {
        if (versions.record(ServiceVersion.of(announcement), Forwarder.now())) {
            write();
        }
    }

    /** Adds the software versions that another host knows of. */
    void merge(VersionHistory history) {
        if (versions.merge(history, Forwarder.now())) {
            write();
        }
    }

    /** Forgets versions that no endpoint runs any more; to be called periodically. */
    void maintain(Collection<EndpointAnnouncement> endpoints) {
        versions.retain(endpoints, Forwarder.now());
        write();
    }

    /** Returns the software versions that this host knows of. */
    VersionHistory history() {
        return versions.history(Forwarder.now());
    }

    StreamReply reply(FindStream question) {
        boolean isCollecting = Forwarder.now() - startedAt < COLLECTION_MILLISECONDS;
        Optional<StreamOrigin> origin =
                question.request().isEmpty() ? Optional.empty() : origins.find(question.request());
        Optional<List<String>> heard = question.services().size() == 1
                ? versions.of(question.services().getFirst(), Forwarder.now())
                : Optional.empty();
        return new StreamReply(origin, isCollecting, heard);
    }

    private void write() {
        VersionHistory history = history();
        boolean isStored = waiting.isEmpty() && history.equals(stored);
        if (journal.isEmpty() || isWriting || isStored) {
            return;
        }
        long delay = nextWriteAt - Forwarder.now();
        isWriting = true;
        loop.schedule(this::startWrite, Math.max(0, delay), TimeUnit.MILLISECONDS);
    }

    private void startWrite() {
        VersionHistory history = history();
        StreamFacts facts = newFacts(history);
        waiting.clear();
        stored = history;
        nextWriteAt = Forwarder.now() + WRITE_INTERVAL_MILLISECONDS;
        writer.execute(() -> {
            Optional<Throwable> failure = append(facts, history);
            try {
                loop.execute(() -> endWrite(facts.origins(), failure));
            } catch (RejectedExecutionException ended) {
                // The process has stopped, and what it could not write is lost.
            }
        });
    }

    private StreamFacts newFacts(VersionHistory history) {
        return new StreamFacts(waiting, Optional.of(history).filter(newest -> !newest.equals(stored)));
    }

    private Optional<Throwable> append(StreamFacts facts, VersionHistory history) {
        try {
            journal.orElseThrow().append(List.of(facts), () -> StreamFacts.of(history));
            return Optional.empty();
        } catch (IOException | RuntimeException | OutOfMemoryError failure) {
            return Optional.of(failure);
        }
    }

    private void endWrite(List<StreamOrigin> written, Optional<Throwable> failure) {
        isWriting = false;
        failure.ifPresent(cause -> {
            stored = VersionHistory.UNKNOWN;
            int room = Math.max(0, MAXIMUM_WAITING - waiting.size());
            waiting.addAll(0, written.subList(Math.max(0, written.size() - room), written.size()));
            nextWriteAt = Forwarder.now() + RETRY_MILLISECONDS;
            logNotWritten(cause);
        });
        write();
    }

    /**
     * Writes what is not on disk and closes the files; to be called once the event loop has ended. Gives up after
     * {@value #STOP_TIMEOUT_MILLISECONDS} ms, because a write to a stalled disk may never return.
     */
    void close() {
        VersionHistory history = history();
        if (journal.isPresent() && (!waiting.isEmpty() || !history.equals(stored))) {
            StreamFacts facts = newFacts(history);
            writer.execute(() -> append(facts, history).ifPresent(this::logNotWritten));
        }
        writer.shutdown();
        try {
            if (writer.awaitTermination(STOP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)) {
                journal.ifPresent(RecordJournal::close);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void logNotWritten(Throwable cause) {
        LOG.log(Event.STREAM_RECORDS_NOT_WRITTEN, cause, "waiting", waiting.size());
    }
}
