package io.rosemarybeam.consensus.storage;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;

import com.sun.management.ThreadMXBean;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.StorageException;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.consensus.DurableState;
import io.rosemarybeam.consensus.HardState;
import io.rosemarybeam.consensus.LogEntry;
import io.rosemarybeam.consensus.LogSnapshot;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against the loss of acknowledged data after a crash, and against damaged files that are accepted as valid. */
class LogStorageTest {
    private static final String FIRST_SEGMENT = "log-0000000000000001";

    /** Kinds of damage; the smaller ones are the numbers of the changed bit. */
    private static final int ZEROED = 8;

    private static final int REMOVED = 9;

    /** Size of a state or entry that is large beside the memory that storing it may take, in bytes. */
    private static final int LARGE_BYTES = 20 * 1024 * 1024;

    /** Memory that an operation may take beside what it stores, in bytes. */
    private static final long MAXIMUM_WORKING_BYTES = 1024 * 1024;

    private final FaultyFileSystem files = new FaultyFileSystem();

    private static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, LogEntry.Kind.COMMAND, ("command " + index + " of " + term).getBytes());
    }

    private static List<LogEntry> entries(long first, long last, long term) {
        List<LogEntry> entries = new ArrayList<>();
        for (long index = first; index <= last; index++) {
            entries.add(entry(index, term));
        }
        return entries;
    }

    private static LogSnapshot snapshot(long index, long term) {
        return new LogSnapshot(index, term, Membership.empty(), new byte[] {1, 2, 3});
    }

    private static void append(LogStorage storage, List<LogEntry> entries) {
        storage.persist(Optional.empty(), Optional.empty(), entries);
    }

    private static List<String> indexesAndTerms(DurableState state) {
        return state.entries().stream()
                .map(entry -> entry.index() + "/" + entry.term())
                .toList();
    }

    private LogStorage openStorage() {
        return LogStorage.open(files);
    }

    @Test
    void shouldRetainPersistedStateWhenMachineCrashes() {
        LogStorage storage = openStorage();
        HardState hardState = new HardState(3, Optional.of(new MemberId("control-1", 7)));
        storage.persist(Optional.of(hardState), Optional.empty(), entries(1, 3, 1));
        append(storage, entries(4, 5, 3));
        files.crash(new SplittableRandom(1));

        DurableState loaded = openStorage().load();

        assertEquals(hardState, loaded.hardState());
        assertEquals(List.of("1/1", "2/1", "3/1", "4/3", "5/3"), indexesAndTerms(loaded));
        assertEquals("command 5 of 3", new String(loaded.entries().getLast().data()));
    }

    @Test
    void shouldReplaceConflictingEntriesWhenLeaderOverwritesThem() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 5, 1));
        append(storage, entries(3, 4, 2));

        assertEquals(
                List.of("1/1", "2/1", "3/2", "4/2"),
                indexesAndTerms(openStorage().load()));
    }

    @Test
    void shouldDropIncompleteRecordWhenWriteWasInterrupted() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 2, 1));
        append(storage, entries(3, 3, 1));
        files.truncateTail(FIRST_SEGMENT, 5);

        LogStorage reopened = openStorage();
        assertEquals(List.of("1/1", "2/1"), indexesAndTerms(reopened.load()));
        append(reopened, entries(3, 3, 2));
        assertEquals(List.of("1/1", "2/1", "3/2"), indexesAndTerms(openStorage().load()));
    }

    @Test
    void shouldRefuseToLoadWhenRecordInTheMiddleIsDamaged() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 2, 1));
        append(storage, entries(3, 3, 1));
        files.corrupt(FIRST_SEGMENT, 20);

        StorageException failure =
                assertThrows(StorageException.class, () -> openStorage().load());
        assertEquals(ErrorCode.CORRUPT_RECORD, failure.code());
    }

    /** A member acknowledges entries that it has loaded, so they must survive a power failure from then on. */
    @Test
    void shouldRetainLoadedEntriesWhenProcessEndedBeforeTheirSyncAndMachineCrashes() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 2, 1));
        files.failSyncs();
        assertThrows(StorageException.class, () -> append(storage, entries(3, 4, 1)));
        files.endProcess();

        List<String> loaded = indexesAndTerms(openStorage().load());
        files.crash();

        assertEquals(List.of("1/1", "2/1", "3/1", "4/1"), loaded);
        assertEquals(loaded, indexesAndTerms(openStorage().load()));
    }

    /** A member that forgets a vote after it has answered with it may vote twice in a term. */
    @Test
    void shouldRetainLoadedVoteWhenProcessEndedBeforeTheFolderWasSyncedAndMachineCrashes() {
        LogStorage storage = openStorage();
        HardState former = new HardState(1, Optional.empty());
        HardState vote = new HardState(2, Optional.of(new MemberId("control-1", 7)));
        storage.persist(Optional.of(former), Optional.empty(), entries(1, 1, 1));
        files.failFolderSyncs();
        assertThrows(StorageException.class, () -> storage.persist(Optional.of(vote), Optional.empty(), List.of()));
        files.endProcess();

        HardState loaded = openStorage().load().hardState();
        files.crash();

        assertEquals(vote, loaded);
        assertEquals(loaded, openStorage().load().hardState());
    }

    @Test
    void shouldRefuseAllFurtherUseWhenSyncFails() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 1, 1));
        files.failSyncs();

        StorageException failure = assertThrows(StorageException.class, () -> append(storage, entries(2, 2, 1)));
        files.crash(new SplittableRandom(1));
        StorageException later = assertThrows(StorageException.class, () -> append(storage, entries(2, 2, 1)));

        assertEquals(ErrorCode.SYNC_FAILED, failure.code());
        assertEquals(ErrorCode.SYNC_FAILED, later.code());
    }

    @Test
    void shouldFailAndRetainFormerStateWhenDiskIsFull() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 1, 1));
        files.setCapacity(100);

        StorageException failure = assertThrows(StorageException.class, () -> append(storage, entries(2, 50, 1)));

        assertEquals(ErrorCode.SYNC_FAILED, failure.code());
        files.setCapacity(Long.MAX_VALUE);
        files.crash(new SplittableRandom(1));
        assertEquals(List.of("1/1"), indexesAndTerms(openStorage().load()));
    }

    @Test
    void shouldDropOldLogWhenSnapshotOfLeaderIsInstalled() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 5, 1));
        storage.persist(Optional.empty(), Optional.of(snapshot(9, 2)), entries(10, 11, 2));

        DurableState loaded = openStorage().load();

        assertEquals(9, loaded.snapshot().orElseThrow().index());
        assertEquals(List.of("10/2", "11/2"), indexesAndTerms(loaded));
    }

    @Test
    void shouldAppendAfterSnapshotWhenCrashLeftTheOldLogBehind() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 5, 1));
        // Leaves the files of an installation that crashed after the rename and before it deleted the old segments.
        storage.compact(snapshot(9, 2), 0);

        LogStorage reopened = openStorage();
        assertEquals(List.of(), indexesAndTerms(reopened.load()));
        append(reopened, entries(10, 10, 2));
        assertEquals(List.of("10/2"), indexesAndTerms(openStorage().load()));
    }

    @Test
    void shouldRetainNewerSnapshotWhenOlderOneIsFinishedLate() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 5, 1));
        storage.persist(Optional.empty(), Optional.of(snapshot(9, 2)), entries(10, 10, 2));
        storage.compact(snapshot(4, 1), 3);

        DurableState loaded = openStorage().load();
        assertEquals(9, loaded.snapshot().orElseThrow().index());
        assertEquals(List.of("10/2"), indexesAndTerms(loaded));
    }

    @Test
    void shouldDeleteOldSegmentsWhenSnapshotCoversThem() {
        LogStorage storage = openStorage();
        LogEntry large = new LogEntry(1, 1, LogEntry.Kind.COMMAND, new byte[5 * 1024 * 1024]);
        append(storage, List.of(large));
        append(storage, entries(2, 3, 1));
        storage.compact(snapshot(2, 1), 2);

        assertTrue(files.list().stream().noneMatch(name -> name.equals(FIRST_SEGMENT)));
        assertEquals(List.of("2/1", "3/1"), indexesAndTerms(openStorage().load()));
    }

    /** Files that were deleted together may reappear one by one, which left a gap between the segments. */
    @Property(tries = 100, seed = "20261210", shrinking = ShrinkingMode.OFF)
    void shouldLoadWhenMachineCrashesWhileSegmentsAreDeleted(@ForAll long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        deleteAllFiles();
        for (int segment = 0; segment < 5; segment++) {
            LogStorage storage = openStorage();
            storage.load();
            append(storage, entries(segment * 3 + 1, segment * 3 + 3, 1));
        }
        LogStorage storage = openStorage();
        storage.load();
        boolean isInstalled = random.nextBoolean();
        files.failFolderSyncsAfter(random.nextInt(6));
        try {
            if (isInstalled) {
                storage.persist(Optional.empty(), Optional.of(snapshot(20, 2)), List.of());
            } else {
                storage.compact(snapshot(14, 1), 14);
            }
        } catch (StorageException interrupted) {
            // The machine crashes before the folder is synced.
        }
        files.crash(random);

        DurableState loaded = openStorage().load();

        boolean hasSnapshot = loaded.snapshot().isPresent();
        boolean isReplaced = hasSnapshot && isInstalled;
        assertEquals(
                isReplaced ? 0 : 15,
                loaded.entries().isEmpty() ? 0 : loaded.entries().getLast().index());
        assertTrue(hasSnapshot || loaded.entries().getFirst().index() == 1);
    }

    /** The entries of a lost segment were acknowledged, and the later ones cannot be applied without them. */
    @Test
    void shouldRefuseToLoadWhenSegmentAfterSnapshotIsMissing() throws IOException {
        append(openStorage(), entries(1, 5, 1));
        LogStorage second = openStorage();
        second.load();
        append(second, entries(6, 8, 1));
        second.compact(snapshot(3, 1), 1);
        files.delete(FIRST_SEGMENT);

        StorageException failure =
                assertThrows(StorageException.class, () -> openStorage().load());

        assertEquals(ErrorCode.CORRUPT_RECORD, failure.code());
        assertEquals(List.of("log-0000000000000002", "snapshot"), files.list());
    }

    @Test
    void shouldRefuseFolderWhenItBelongsToAnotherHostOrProcess(@TempDir Path folder) {
        MemberId created = openStorage().identity("control-1", 5);

        assertEquals(created, openStorage().identity("control-1", 6));
        StorageException other =
                assertThrows(StorageException.class, () -> openStorage().identity("control-2", 6));
        assertEquals(ErrorCode.DATA_FOLDER_INVALID, other.code());
        LogStorage first = LogStorage.open(FileSystem.of(folder));
        StorageException used = assertThrows(StorageException.class, () -> FileSystem.of(folder));
        assertEquals(ErrorCode.DATA_FOLDER_INVALID, used.code());
        first.close();
        LogStorage.open(FileSystem.of(folder)).close();
    }

    /** Must be called first by a property, because all its tries share the files. */
    private void deleteAllFiles() throws IOException {
        files.endProcess();
        for (String name : files.list()) {
            files.delete(name);
        }
        files.syncFolder();
    }

    /** Writes records of random entries to an empty folder and returns the start of each record in the only segment. */
    private List<Integer> writeRandomRecords(SplittableRandom random) throws IOException {
        deleteAllFiles();
        LogStorage storage = openStorage();
        List<Integer> starts = new ArrayList<>();
        long next = 1;
        int records = random.nextInt(2, 6);
        for (int record = 0; record < records; record++) {
            starts.add(starts.isEmpty() ? 0 : files.read(FIRST_SEGMENT).length);
            List<LogEntry> batch = new ArrayList<>();
            int size = random.nextInt(1, 4);
            for (int entry = 0; entry < size; entry++) {
                byte[] data = new byte[random.nextInt(40)];
                random.nextBytes(data);
                batch.add(new LogEntry(next++, 1, LogEntry.Kind.COMMAND, data));
            }
            append(storage, batch);
        }
        return starts;
    }

    /** Returns the content with a part removed or set to zero, or with one bit of each of its bytes changed. */
    private static byte[] damaged(byte[] content, int from, int to, int kind) {
        if (kind == REMOVED) {
            byte[] shortened = Arrays.copyOf(content, content.length - (to - from));
            System.arraycopy(content, to, shortened, from, content.length - to);
            return shortened;
        }
        byte[] changed = content.clone();
        for (int position = from; position < to; position++) {
            changed[position] = (byte) (kind == ZEROED ? 0 : changed[position] ^ 1 << kind);
        }
        return changed;
    }

    /** Damage at any position before the last record must not remove acknowledged entries without an error. */
    @Property(tries = 20, seed = "20261208", shrinking = ShrinkingMode.OFF)
    void shouldNameFileAndPositionWhenAnyByteBeforeTheLastRecordIsDamaged(@ForAll long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        List<Integer> starts = writeRandomRecords(random);
        byte[] content = files.read(FIRST_SEGMENT);
        int last = starts.getLast();
        for (int from = 0; from < last; from++) {
            for (int kind = 0; kind <= REMOVED; kind++) {
                int to = Math.min(last, from + random.nextInt(1, 20));
                byte[] changed = damaged(content, from, to, kind);
                int difference = Arrays.mismatch(content, changed);
                int record =
                        starts.stream().filter(start -> start <= difference).reduce(0, Math::max);
                if (difference < 0) {
                    continue;
                }
                files.replace(FIRST_SEGMENT, changed);
                StorageException failure = assertThrows(
                        StorageException.class,
                        () -> openStorage().load(),
                        "bytes " + from + " to " + to + ", kind " + kind);
                assertEquals(ErrorCode.CORRUPT_RECORD, failure.code());
                boolean areRecordsMissing = kind == REMOVED && starts.contains(from) && starts.contains(to);
                assertTrue(
                        areRecordsMissing
                                || failure.getMessage()
                                        .contains(FIRST_SEGMENT + " is damaged at byte " + record + " of"),
                        failure.getMessage() + " instead of " + record + ", bytes " + from + " to " + to + ", kind "
                                + kind);
            }
        }
    }

    /** A write that a power failure interrupted may leave any bytes, none of which were acknowledged. */
    @Property(tries = 200, seed = "20261209", shrinking = ShrinkingMode.OFF)
    void shouldDropTheLastRecordWhenItsWriteLeftAnyBytes(@ForAll long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        writeRandomRecords(random);
        List<String> acknowledged = indexesAndTerms(openStorage().load());
        byte[] content = files.read(FIRST_SEGMENT);
        byte[] torn = Arrays.copyOf(content, content.length + random.nextInt(1, 60));
        boolean isZero = random.nextInt(4) == 0;
        for (int position = content.length + random.nextInt(8); position < torn.length; position++) {
            torn[position] = (byte) (isZero ? 0 : random.nextInt());
        }
        files.replace(FIRST_SEGMENT, torn);

        assertEquals(acknowledged, indexesAndTerms(openStorage().load()));
        assertEquals(content.length, files.read(FIRST_SEGMENT).length);
    }

    /**
     * Guards against copies of the whole state, with which all store hosts ran out of memory while they took the snapshot of
     * one entry.
     */
    @Test
    void shouldTakeMemoryForOneChunkWhenALargeSnapshotIsStored(@TempDir Path folder) {
        LogSnapshot large = new LogSnapshot(2, 1, Membership.empty(), randomBytes(LARGE_BYTES));
        LogStorage storage = LogStorage.open(FileSystem.of(folder));
        storage.persist(Optional.empty(), Optional.of(snapshot(1, 1)), List.of());

        long before = allocatedBytes();
        storage.compact(large, 2);
        long compaction = allocatedBytes() - before;
        storage.persist(Optional.empty(), Optional.of(large), List.of());
        long installation = allocatedBytes() - before - compaction;

        assertAll(
                () -> assertTrue(compaction < MAXIMUM_WORKING_BYTES, "compact allocated " + compaction + " bytes"),
                () -> assertTrue(installation < MAXIMUM_WORKING_BYTES, "install allocated " + installation + " bytes"));
        storage.close();
        LogStorage reopened = LogStorage.open(FileSystem.of(folder));
        assertArrayEquals(
                large.state(), reopened.load().snapshot().orElseThrow().state());
        reopened.close();
    }

    /** Guards against a leader that holds the encoded state in memory, or reads it as a whole, for members that lag. */
    @Test
    void shouldTakeMemoryForOnePartWhenALargeSnapshotIsRead(@TempDir Path folder) {
        LogSnapshot large = new LogSnapshot(2, 1, Membership.empty(), randomBytes(LARGE_BYTES));
        LogStorage storage = LogStorage.open(FileSystem.of(folder));
        storage.compact(large, 2);
        int length = 300_000;
        int last = LARGE_BYTES - length;

        long before = allocatedBytes();
        byte[] end = storage.readSnapshot(2, LARGE_BYTES, last, length).orElseThrow();
        long allocated = allocatedBytes() - before;

        assertArrayEquals(Arrays.copyOfRange(large.state(), last, LARGE_BYTES), end);
        assertTrue(allocated < MAXIMUM_WORKING_BYTES, "reading a part allocated " + allocated + " bytes");
        storage.close();
    }

    /** Files of all releases have the same format. */
    @ParameterizedTest
    @ValueSource(ints = {3, 255, 256, 65_535, 65_536, 200_000})
    void shouldReadTheStateInPartsWhenSnapshotIsStored(int stateBytes) {
        LogSnapshot snapshot = new LogSnapshot(7, 2, Membership.empty(), randomBytes(stateBytes));
        LogStorage storage = openStorage();
        storage.compact(snapshot, 0);
        int part = Math.max(1, stateBytes / 3);

        ByteBuffer read = ByteBuffer.allocate(stateBytes);
        while (read.hasRemaining()) {
            int length = Math.min(part, read.remaining());
            read.put(
                    storage.readSnapshot(7, stateBytes, read.position(), length).orElseThrow());
        }

        assertArrayEquals(snapshot.state(), read.array());
    }

    /** Guards against a snapshot that is put together from parts of two. */
    @Test
    void shouldReadNothingWhenANewerSnapshotIsStored() {
        LogStorage storage = openStorage();
        storage.compact(snapshot(2, 1), 0);
        storage.compact(snapshot(3, 1), 0);

        assertTrue(storage.readSnapshot(2, 3, 1, 2).isEmpty());
        assertTrue(storage.readSnapshot(3, 3, 1, 2).isPresent());
    }

    /** Guards against damage that a leader passes on to other members, which cannot notice it. */
    @Test
    void shouldFailWhenTheSnapshotToReadIsDamaged() throws IOException {
        LogStorage storage = openStorage();
        storage.compact(new LogSnapshot(2, 1, Membership.empty(), randomBytes(200_000)), 0);
        files.corrupt("snapshot", 150_000);

        StorageException failure =
                assertThrows(StorageException.class, () -> storage.readSnapshot(2, 200_000, 0, 1_000));

        assertEquals(ErrorCode.CORRUPT_RECORD, failure.code());
    }

    private static long allocatedBytes() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getCurrentThreadAllocatedBytes();
    }

    private static byte[] randomBytes(int size) {
        byte[] bytes = new byte[size];
        new SplittableRandom(1).nextBytes(bytes);
        return bytes;
    }

    /** Returns the snapshot file as releases before the chunked encoding wrote it. */
    private static byte[] earlierSnapshotFile(LogSnapshot snapshot) {
        byte[] body = MessageCodec.encode(snapshot);
        CRC32C checksum = new CRC32C();
        checksum.update(body);
        return ByteBuffer.allocate(2 * Integer.BYTES + body.length)
                .putInt(body.length)
                .putInt((int) checksum.getValue())
                .put(body)
                .array();
    }

    /** A host may start with the data folder of an earlier release, and go back to it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 3, 4_095, 4_096, 65_535, 65_536, 200_000})
    void shouldKeepTheFormatOfEarlierReleasesWhenSnapshotIsStored(int stateBytes) throws IOException {
        LogSnapshot snapshot = new LogSnapshot(7, 2, Membership.empty(), randomBytes(stateBytes));
        openStorage().compact(snapshot, 0);

        assertArrayEquals(earlierSnapshotFile(snapshot), files.read("snapshot"));
        assertArrayEquals(
                snapshot.state(), openStorage().load().snapshot().orElseThrow().state());
    }

    /** Guards against hosts that end because their disk has no space for a snapshot, although the log is unharmed. */
    @Test
    void shouldGoOnWhenSnapshotCannotBeWritten() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 3, 1));
        LogSnapshot large = new LogSnapshot(2, 1, Membership.empty(), randomBytes(300_000));
        files.setCapacity(200_000);

        StorageException failure = assertThrows(StorageException.class, () -> storage.compact(large, 2));

        assertEquals(ErrorCode.SNAPSHOT_NOT_WRITTEN, failure.code());
        assertEquals(List.of(FIRST_SEGMENT), files.list());
        append(storage, entries(4, 4, 1));
        files.setCapacity(Long.MAX_VALUE);
        assertTrue(storage.compact(large, 2).isPresent());
        DurableState loaded = openStorage().load();
        assertEquals(List.of("1/1", "2/1", "3/1", "4/1"), indexesAndTerms(loaded));
        assertArrayEquals(large.state(), loaded.snapshot().orElseThrow().state());
    }

    /** Guards against a host that waits for good for space that the rest of its own failed installation takes. */
    @Test
    void shouldFreeTheSpaceOfASnapshotOfTheLeaderThatCannotBeWritten() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 3, 1));
        LogSnapshot large = new LogSnapshot(9, 1, Membership.empty(), randomBytes(300_000));
        files.setCapacity(200_000);

        StorageException failure = assertThrows(
                StorageException.class, () -> storage.persist(Optional.empty(), Optional.of(large), List.of()));

        assertEquals(ErrorCode.SYNC_FAILED, failure.code());
        assertEquals(List.of(FIRST_SEGMENT), files.list());
    }

    /** After a failed sync of the log, or of the folder, it is unknown what is durable. */
    @Test
    void shouldFailForGoodWhenTheRenamedSnapshotOrTheLogCannotBeSynced() {
        LogStorage storage = openStorage();
        append(storage, entries(1, 3, 1));
        files.failFolderSyncs();
        assertEquals(
                ErrorCode.SYNC_FAILED,
                assertThrows(StorageException.class, () -> storage.compact(snapshot(2, 1), 2))
                        .code());
        files.endProcess();
        assertThrows(StorageException.class, () -> append(storage, entries(4, 4, 1)));

        LogStorage other = openStorage();
        other.load();
        files.failSyncs();
        assertEquals(
                ErrorCode.SNAPSHOT_NOT_WRITTEN,
                assertThrows(StorageException.class, () -> other.compact(snapshot(3, 1), 2))
                        .code());
        assertEquals(
                ErrorCode.SYNC_FAILED,
                assertThrows(StorageException.class, () -> append(other, entries(4, 4, 1)))
                        .code());
    }
}
