package io.rosemarybeam.store;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import io.rosemarybeam.common.wire.StoreMessage.FindStream;
import io.rosemarybeam.common.wire.StoreMessage.StreamReply;
import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.common.wire.VersionHistory;
import io.rosemarybeam.consensus.storage.FileSystem;
import io.rosemarybeam.consensus.storage.RecordJournal;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against streams that cannot go on, or go on at another version, because all store hosts were killed. */
class StreamRecordsTest {
    private static final ServiceName DESK = ServiceName.of("desk");
    private static final StreamOrigin ORIGIN = new StreamOrigin("r", DESK, "v1");
    private static final long TIMEOUT_MILLISECONDS = 5_000;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();

    @TempDir
    Path folder;

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static EndpointAnnouncement endpoint(String softwareVersion) {
        return new EndpointAnnouncement(
                EndpointId.of("e-" + softwareVersion),
                1,
                1,
                DESK,
                "10.0.0.1:80",
                FailureDomain.of("fes"),
                6,
                State.READY,
                List.of(),
                softwareVersion);
    }

    private StreamRecords restore(Path data, boolean isNewCluster) {
        return StreamRecords.restore(loop, StreamRecords.openJournal(data), isNewCluster);
    }

    private StreamReply ask(StreamRecords records, String request) throws Exception {
        return loop.submit(() -> records.reply(new FindStream(request, List.of(DESK))))
                .get(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private void run(Runnable task) throws Exception {
        loop.submit(task).get(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Copies the files as a kill leaves them, once they hold the origin. */
    private Path copyAfterKill(Path data) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
        while (System.nanoTime() < deadline) {
            Path copy = Files.createTempDirectory(folder, "copy");
            Path source = data.resolve("streams");
            try (Stream<Path> files = Files.list(source)) {
                Files.createDirectories(copy.resolve("streams"));
                for (Path file : files.toList()) {
                    Files.copy(file, copy.resolve("streams").resolve(file.getFileName()));
                }
            }
            try (RecordJournal<StreamFacts> journal =
                    StreamRecords.openJournal(copy).orElseThrow()) {
                boolean isStored = journal.load().records().stream()
                        .anyMatch(facts -> facts.origins().contains(ORIGIN));
                if (isStored) {
                    return copy;
                }
            }
            Thread.sleep(10);
        }
        throw new AssertionError("the origin was not stored");
    }

    @Test
    void shouldKnowOriginsAndVersionsWhenTheProcessWasKilled() throws Exception {
        StreamRecords killed = restore(folder.resolve("data"), true);
        run(() -> {
            killed.heard(endpoint("v1"));
            killed.heard(endpoint("v2"));
            killed.begun(List.of(ORIGIN));
        });
        StreamRecords restored = restore(copyAfterKill(folder.resolve("data")), false);

        assertEquals(new StreamReply(Optional.of(ORIGIN), true, Optional.of(List.of("v1", "v2"))), ask(restored, "r"));
        assertEquals(Optional.empty(), ask(restored, "").origin());
    }

    @Test
    void shouldStoreTheLastOriginsWhenTheProcessIsStopped() throws Exception {
        NioEventLoopGroup ended = new NioEventLoopGroup(1);
        EventLoop endedLoop = ended.next();
        StreamRecords stopped = StreamRecords.restore(endedLoop, StreamRecords.openJournal(folder), true);
        endedLoop.submit(() -> stopped.begun(List.of(ORIGIN))).sync();
        ended.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
        stopped.close();

        assertEquals(Optional.of(ORIGIN), ask(restore(folder, false), "r").origin());
    }

    /** A host that lost its disk, or was updated from an earlier release, may have missed versions. */
    @Test
    void shouldNotClaimToKnowAllVersionsWhenItHasNoRecordsAndTheClusterIsOlder() throws Exception {
        StreamRecords records = restore(folder, false);
        run(() -> records.heard(endpoint("v2")));
        assertEquals(Optional.empty(), ask(records, "unknown").versions());

        run(() -> records.merge(new VersionHistory(List.of(), true)));
        assertEquals(Optional.of(List.of("v2")), ask(records, "unknown").versions());
    }

    @Test
    void shouldNotClaimToKnowAllVersionsWhenItsRecordsAreDamaged() throws Exception {
        StreamRecords damaged = restore(folder, true);
        run(() -> damaged.heard(endpoint("v1")));
        damaged.close();
        try (Stream<Path> files = Files.list(folder.resolve("streams"))) {
            for (Path file :
                    files.filter(name -> name.toString().contains("journal")).toList()) {
                byte[] content = Files.readAllBytes(file);
                content[9] ^= 1;
                Files.write(file, content);
            }
        }

        assertEquals(Optional.empty(), ask(restore(folder, false), "unknown").versions());
    }

    /** A full disk must neither stop the host nor lose origins for good. */
    @Test
    void shouldWriteAgainWhenTheDiskWasFull() throws Exception {
        AtomicBoolean isFull = new AtomicBoolean(true);
        FailingFileSystem files = new FailingFileSystem(FileSystem.of(folder.resolve("streams")));
        files.refuseWritesWhile(isFull::get);
        StreamRecords records =
                StreamRecords.restore(loop, Optional.of(RecordJournal.open(files, StreamFacts.class)), true);
        run(() -> records.begun(List.of(ORIGIN)));
        Thread.sleep(200);
        assertEquals(Optional.of(ORIGIN), ask(records, "r").origin());

        isFull.set(false);
        Path copy = copyAfterKill(folder);
        assertTrue(Files.exists(copy));
        assertEquals(Optional.of(ORIGIN), ask(restore(copy, false), "r").origin());
    }

    /** A stop that waits for a stalled disk would last until the process is killed. */
    @Test
    void shouldCloseInTimeWhenTheDiskStalls() throws Exception {
        CountDownLatch isMoving = new CountDownLatch(1);
        FailingFileSystem files = new FailingFileSystem(FileSystem.of(folder.resolve("streams")));
        files.refuseWritesWhile(() -> {
            try {
                isMoving.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            return true;
        });
        StreamRecords records =
                StreamRecords.restore(loop, Optional.of(RecordJournal.open(files, StreamFacts.class)), true);
        // The write that this schedules is cancelled with the loop, so that the close has to make it.
        run(() -> {
            records.begun(List.of(ORIGIN));
            loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        });
        loops.terminationFuture().sync();

        assertTimeoutPreemptively(Duration.ofMillis(TIMEOUT_MILLISECONDS), records::close);
        isMoving.countDown();
    }

    @Test
    void shouldServeWithoutFilesWhenTheFolderCannotBeUsed() throws Exception {
        Files.writeString(folder.resolve("streams"), "a file in place of the folder");
        StreamRecords records = restore(folder, true);
        run(() -> records.begun(List.of(ORIGIN)));

        assertEquals(Optional.of(ORIGIN), ask(records, "r").origin());
        records.close();
    }
}
