package io.rosemarybeam.consensus.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.StorageException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.consensus.DurableState;
import io.rosemarybeam.consensus.HardState;
import io.rosemarybeam.consensus.LogEntry;
import io.rosemarybeam.consensus.LogSnapshot;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.storage.FileSystem.AppendFile;

/**
 * Stores the log of a member in the files of one folder.
 *
 * <p>The log is split into segment files that are only appended to. A record contains the entries of one sync. A record
 * whose first entry has the index of an earlier entry replaces that entry and all later ones, so durable data is never
 * overwritten in place. Identity, hard state and snapshot are files of one record each, which are replaced by an atomic
 * rename.
 *
 * <p>Invariant: when {@link #persist} returns, everything passed to it is durable, and so is everything that {@link #load}
 * has returned. After an I/O failure every further
 * operation throws the same exception, because it is unknown what is durable after a failed sync. The exception is the temporary
 * file of a snapshot: nothing refers to it before it is complete and synced, so a failure to write it leaves the storage as it
 * was ({@link ErrorCode#SNAPSHOT_NOT_WRITTEN}).
 *
 * <p>Memory, beside the arguments and results: identity and hard state take some hundred bytes. A snapshot is encoded twice, for
 * its length and checksum and then to the file, so {@link #compact}, and {@link #persist} of a snapshot, take two buffers of
 * 64 KiB whatever its size. {@link #persist} of entries takes up to four times the bytes of these entries, because a log record
 * is encoded in memory, and so written by one or few calls. {@link #load} takes twice the size of the largest file. No read or
 * write of a {@link FileSystem#of} folder takes more than 64 KiB outside the heap.
 *
 * <p>Confined to one thread at a time, apart from {@link #syncs}.
 */
public final class LogStorage implements AutoCloseable {
    private static final String IDENTITY_FILE = "identity";
    private static final String HARD_STATE_FILE = "hard-state";
    private static final String SNAPSHOT_FILE = "snapshot";
    private static final String TEMPORARY_SUFFIX = ".tmp";
    private static final String SEGMENT_PREFIX = "log-";
    /** Size from which on a new segment is started. */
    private static final long SEGMENT_BYTES = 4 * 1024 * 1024;

    private static final EventLog LOG = EventLog.of(LogStorage.class);

    private final FileSystem files;
    /** Largest index that was ever written to a segment, zero if none, by number of the segment. */
    private final TreeMap<Long, Long> segments = new TreeMap<>();

    private Optional<AppendFile> currentSegment = Optional.empty();
    private Optional<StorageException> failure = Optional.empty();
    private long snapshotIndex;
    private volatile long syncs;

    private LogStorage(FileSystem files) {
        this.files = files;
    }

    /**
     * Opens the storage; {@link #load} must be called before anything is persisted in a folder that is not empty.
     *
     * @param files the files, which are closed with the storage
     * @return the storage
     */
    public static LogStorage open(FileSystem files) {
        return new LogStorage(files);
    }

    /**
     * Returns the identity that is stored in the data folder, and creates one if the folder has none.
     *
     * @param name name of this host
     * @param newIncarnation incarnation of a new identity
     * @return the stored or created identity
     * @throws StorageException with {@link ErrorCode#DATA_FOLDER_INVALID} if the folder belongs to another host, or with
     *     {@link ErrorCode#SYNC_FAILED} if the identity cannot be read or made durable
     */
    public MemberId identity(String name, long newIncarnation) {
        return execute("read the identity", () -> {
            if (!files.list().contains(IDENTITY_FILE)) {
                MemberId created = new MemberId(name, newIncarnation);
                replaceFile(IDENTITY_FILE, created);
                return created;
            }
            MemberId stored = MessageCodec.decode(readSingleRecord(IDENTITY_FILE), MemberId.class);
            if (!stored.name().equals(name)) {
                throw new StorageException(
                        ErrorCode.DATA_FOLDER_INVALID,
                        "the data folder belongs to host " + stored.name() + ", not " + name);
            }
            return stored;
        });
    }

    /**
     * Loads the stored state and makes it durable: a process that ended between a write and its sync leaves files which the
     * operating system returns, but which a power failure would still revert. Removes temporary files, an incomplete record
     * at the end of the last segment, and a log that an installed snapshot has replaced.
     *
     * @return the stored state; empty if nothing is stored
     * @throws StorageException with {@link ErrorCode#CORRUPT_RECORD} if a file is damaged, or with
     *     {@link ErrorCode#SYNC_FAILED} if a file cannot be read or changed
     */
    public DurableState load() {
        return execute("load the log", () -> {
            List<String> names = files.list();
            for (String name : names) {
                if (name.endsWith(TEMPORARY_SUFFIX)) {
                    files.delete(name);
                }
            }
            files.syncFolder();
            HardState hardState = names.contains(HARD_STATE_FILE)
                    ? MessageCodec.decode(readSingleRecord(HARD_STATE_FILE), HardState.class)
                    : HardState.initial();
            Optional<LogSnapshot> snapshot = names.contains(SNAPSHOT_FILE)
                    ? Optional.of(MessageCodec.decode(readSingleRecord(SNAPSHOT_FILE), LogSnapshot.class))
                    : Optional.empty();
            snapshotIndex = snapshot.map(LogSnapshot::index).orElse(0L);
            TreeMap<Long, LogEntry> entries = loadSegments(names);
            List<LogEntry> retained = selectEntriesMatchingSnapshot(snapshot, entries);
            if (retained.isEmpty()) {
                // A crash after an installed snapshot was renamed and before the old log was deleted leaves both.
                deleteAllSegments();
            }
            return new DurableState(hardState, snapshot, retained);
        });
    }

    private byte[] readSingleRecord(String name) throws IOException {
        List<byte[]> bodies = RecordFile.decode(name, files.read(name), false).bodies();
        if (bodies.size() != 1) {
            throw new StorageException(
                    ErrorCode.CORRUPT_RECORD, name + " contains " + bodies.size() + " records instead of 1");
        }
        return bodies.getFirst();
    }

    private TreeMap<Long, LogEntry> loadSegments(List<String> names) throws IOException {
        TreeMap<Long, LogEntry> entries = new TreeMap<>();
        List<String> segmentNames =
                names.stream().filter(name -> name.startsWith(SEGMENT_PREFIX)).toList();
        for (String name : segmentNames) {
            boolean last = name.equals(segmentNames.getLast());
            byte[] content = files.read(name);
            RecordFile.Records records = RecordFile.decode(name, content, last);
            if (records.validBytes() < content.length) {
                LOG.log(Event.LOG_END_REMOVED, "file", name, "position", records.validBytes(), "size", content.length);
                files.truncate(name, records.validBytes());
            }
            if (last) {
                sync(name);
            }
            long number = Long.parseLong(name.substring(SEGMENT_PREFIX.length()));
            segments.put(number, 0L);
            for (byte[] body : records.bodies()) {
                for (LogEntry entry : MessageCodec.decode(body, Batch.class).entries()) {
                    addEntry(name, entries, entry);
                    segments.merge(number, entry.index(), Math::max);
                }
            }
        }
        return entries;
    }

    private void sync(String name) throws IOException {
        try (AppendFile file = files.openForAppend(name)) {
            file.sync();
        }
    }

    private static void addEntry(String name, TreeMap<Long, LogEntry> entries, LogEntry entry) {
        entries.tailMap(entry.index(), true).clear();
        if (!entries.isEmpty() && entries.lastKey() != entry.index() - 1) {
            throw new StorageException(
                    ErrorCode.CORRUPT_RECORD,
                    name + ": entry " + entry.index() + " follows entry " + entries.lastKey());
        }
        entries.put(entry.index(), entry);
    }

    /** Returns the entries if they contain or directly follow the last entry of the snapshot, otherwise none. */
    private static List<LogEntry> selectEntriesMatchingSnapshot(
            Optional<LogSnapshot> snapshot, TreeMap<Long, LogEntry> entries) {
        if (snapshot.isEmpty()) {
            if (!entries.isEmpty() && entries.firstKey() != 1) {
                throw new StorageException(
                        ErrorCode.CORRUPT_RECORD,
                        "the log starts with entry " + entries.firstKey() + " and no snapshot");
            }
            return List.copyOf(entries.values());
        }
        long index = snapshot.get().index();
        LogEntry entryAtSnapshot = entries.get(index);
        boolean matchesSnapshot = entryAtSnapshot != null
                && entryAtSnapshot.term() == snapshot.get().term();
        if (matchesSnapshot) {
            return List.copyOf(entries.values());
        }
        if (entries.isEmpty() || entries.firstKey() <= index) {
            return List.of();
        }
        if (entries.firstKey() > index + 1) {
            throw new StorageException(
                    ErrorCode.CORRUPT_RECORD,
                    "the log starts with entry " + entries.firstKey() + ", the snapshot ends with entry " + index);
        }
        return List.copyOf(entries.values());
    }

    /**
     * Makes changes of the log durable.
     *
     * @param hardState term and vote, if changed
     * @param installed snapshot of the leader that replaces the complete log, if any
     * @param entries entries to append; they replace entries with the same or a larger index
     * @throws StorageException with {@link ErrorCode#SYNC_FAILED} if any change cannot be made durable
     */
    public void persist(Optional<HardState> hardState, Optional<LogSnapshot> installed, List<LogEntry> entries) {
        execute("persist", () -> {
            if (installed.isPresent()) {
                snapshotIndex = installed.get().index();
                replaceFile(SNAPSHOT_FILE, installed.get());
                deleteAllSegments();
            }
            if (hardState.isPresent()) {
                replaceFile(HARD_STATE_FILE, hardState.get());
            }
            if (!entries.isEmpty()) {
                append(entries);
            }
            return null;
        });
    }

    private void append(List<LogEntry> entries) throws IOException {
        long lastIndex = entries.getLast().index();
        if (currentSegment.isEmpty() || currentSegment.get().size() >= SEGMENT_BYTES) {
            startSegment();
        }
        AppendFile file = currentSegment.orElseThrow();
        file.write(RecordFile.encode(MessageCodec.encode(new Batch(entries))));
        file.sync();
        syncs++;
        segments.merge(segments.lastKey(), lastIndex, Math::max);
    }

    private void startSegment() throws IOException {
        closeCurrentSegment();
        long number = segments.isEmpty() ? 1 : segments.lastKey() + 1;
        currentSegment = Optional.of(files.openForAppend(segmentName(number)));
        files.syncFolder();
        syncs++;
        segments.put(number, 0L);
    }

    /**
     * Stores a snapshot that this member has taken and deletes segments that contain only older entries. Does nothing if a
     * snapshot of the same or a later entry is stored.
     *
     * @param snapshot the snapshot
     * @param firstRetained index of the first entry to retain
     * @return size of the snapshot file in bytes, or empty if nothing was done
     * @throws StorageException with {@link ErrorCode#SNAPSHOT_NOT_WRITTEN} if the temporary file cannot be written or synced, or
     *     memory is lacking for it: the file is removed, the storage holds what it held before, and the call may be repeated;
     *     with {@link ErrorCode#SYNC_FAILED} if the renamed file or the deletions cannot be made durable
     */
    public OptionalLong compact(LogSnapshot snapshot, long firstRetained) {
        return execute("store a snapshot", () -> {
            if (snapshot.index() <= snapshotIndex) {
                // A newer snapshot of the leader was installed while this one was taken.
                return OptionalLong.empty();
            }
            long bytes = writeSnapshot(snapshot);
            snapshotIndex = snapshot.index();
            useTemporaryFile(SNAPSHOT_FILE);
            deleteSegmentsBefore(firstRetained);
            return OptionalLong.of(bytes);
        });
    }

    /**
     * Reads a part of the encoded state of the stored snapshot. The file is verified when its first part is read, because a
     * member that receives the parts cannot notice damage; after that it takes memory for the part only.
     *
     * @param index index of the last entry that the snapshot covers
     * @param stateBytes size of the encoded state, in bytes
     * @param offset offset of the part in the encoded state, in bytes
     * @param length size of the part, in bytes
     * @return the part; empty if another snapshot is stored
     * @throws StorageException with {@link ErrorCode#CORRUPT_RECORD} if the file is damaged, or with
     *     {@link ErrorCode#SYNC_FAILED} if it cannot be read
     */
    public Optional<byte[]> readSnapshot(long index, int stateBytes, int offset, int length) {
        return execute("read the snapshot", () -> {
            if (index != snapshotIndex) {
                return Optional.empty();
            }
            if (offset == 0) {
                RecordFile.verify(files, SNAPSHOT_FILE);
            }
            // The state is the last component of the record, and its bytes end the file.
            return Optional.of(RecordFile.readEnd(files, SNAPSHOT_FILE, stateBytes, offset, length));
        });
    }

    private long writeSnapshot(LogSnapshot snapshot) {
        try {
            return writeTemporaryFile(SNAPSHOT_FILE, snapshot);
        } catch (IOException | OutOfMemoryError cause) {
            StorageException failure = new StorageException(
                    ErrorCode.SNAPSHOT_NOT_WRITTEN, "cannot write the snapshot of entry " + snapshot.index(), cause);
            deleteAfter(failure, SNAPSHOT_FILE);
            throw failure;
        }
    }

    /** Deletes the oldest segments whose entries all precede an index, but not the last segment. */
    private void deleteSegmentsBefore(long firstRetained) throws IOException {
        while (segments.size() > 1 && segments.firstEntry().getValue() < firstRetained) {
            deleteSegment(segments.firstKey());
        }
    }

    /**
     * Deletes all segments, the newest one first: those that a crash leaves then begin where the log began, unlike those of
     * which older segments are missing.
     */
    private void deleteAllSegments() throws IOException {
        closeCurrentSegment();
        while (!segments.isEmpty()) {
            deleteSegment(segments.lastKey());
        }
    }

    /** Deletes a segment durably before the next one, because a crash may revert unsynced deletions in any order. */
    private void deleteSegment(long number) throws IOException {
        files.delete(segmentName(number));
        segments.remove(number);
        files.syncFolder();
        syncs++;
    }

    private static String segmentName(long number) {
        return SEGMENT_PREFIX + String.format("%016d", number);
    }

    /** Leaves no temporary file after a failure, because one that fills the disk would keep this host from writing again. */
    private void replaceFile(String name, Record content) throws IOException {
        try {
            writeTemporaryFile(name, content);
        } catch (IOException | OutOfMemoryError failure) {
            deleteAfter(failure, name);
            throw failure;
        }
        useTemporaryFile(name);
    }

    private void deleteAfter(Throwable failure, String name) {
        try {
            deleteTemporaryFile(name);
        } catch (IOException remaining) {
            // The next attempt and the next start remove the file.
            failure.addSuppressed(remaining);
        }
    }

    /** Writes and syncs the file that is to replace another one, and returns its size in bytes. */
    private long writeTemporaryFile(String name, Record content) throws IOException {
        deleteTemporaryFile(name);
        try (AppendFile file = files.openForAppend(name + TEMPORARY_SUFFIX)) {
            long bytes = RecordFile.append(file, content);
            file.sync();
            return bytes;
        }
    }

    private void deleteTemporaryFile(String name) throws IOException {
        if (files.list().contains(name + TEMPORARY_SUFFIX)) {
            files.delete(name + TEMPORARY_SUFFIX);
        }
    }

    private void useTemporaryFile(String name) throws IOException {
        files.rename(name + TEMPORARY_SUFFIX, name);
        files.syncFolder();
        syncs += 2;
    }

    /** Returns the number of syncs since the storage was opened. Safe for use by any thread. */
    public long syncs() {
        return syncs;
    }

    private void closeCurrentSegment() throws IOException {
        if (currentSegment.isPresent()) {
            currentSegment.get().close();
            currentSegment = Optional.empty();
        }
    }

    @Override
    public void close() {
        try (files) {
            closeCurrentSegment();
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    private <T> T execute(String operation, IoAction<T> action) {
        if (failure.isPresent()) {
            throw failure.get();
        }
        try {
            return action.run();
        } catch (IOException cause) {
            StorageException storageFailure = new StorageException(ErrorCode.SYNC_FAILED, "cannot " + operation, cause);
            failure = Optional.of(storageFailure);
            throw storageFailure;
        }
    }

    /** The entries of one sync. Immutable. */
    record Batch(List<LogEntry> entries) {}

    /** An operation on the files. */
    private interface IoAction<T> {
        T run() throws IOException;
    }
}
