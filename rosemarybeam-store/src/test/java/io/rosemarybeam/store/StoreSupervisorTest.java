package io.rosemarybeam.store;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.rosemarybeam.consensus.storage.FileSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a host that ends for a full disk and starts again into the same full disk, and against one that waits for its
 * disk and neither comes back nor stops.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class StoreSupervisorTest {
    private static final String REPLACE = "/api/config/replace";
    private static final String GET = "/api/config/get";

    /** Far less than a graceful stop of a host that leads may take. */
    private static final long PROMPT_STOP_MILLISECONDS = 1_000;

    @TempDir
    Path folder;

    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private final AtomicBoolean isFull = new AtomicBoolean();
    private volatile Supplier<Error> writeError = () -> null;
    private StoreCluster cluster;
    private StoreSupervisor supervisor;

    @BeforeEach
    void create() {
        cluster = new StoreCluster(folder, failures::add);
    }

    @AfterEach
    void close() {
        if (supervisor != null) {
            supervisor.stop();
        }
        cluster.close();
    }

    private FileSystem disk(Path data) {
        FailingFileSystem files = new FailingFileSystem(FileSystem.of(data));
        files.refuseWritesWhile(isFull::get);
        files.failWrites(() -> writeError.get());
        return files;
    }

    private void startSupervised(int host) {
        supervisor = StoreSupervisor.start(cluster.settings(host, true), this::disk, failures::add);
    }

    private static String configuration(int version) {
        return "{\"Version\":" + version + ",\"Routes\":[],\"Services\":[]}";
    }

    private void replaceConfiguration(int host, int version) {
        StoreCluster.await(
                "configuration " + version + " is accepted",
                () -> cluster.post(host, REPLACE, configuration(version)) == 200 ? true : null);
    }

    private void awaitConfiguration(int host, int version) {
        StoreCluster.await("host " + host + " returns configuration " + version, () -> {
            var answer = cluster.get(host, GET);
            return answer.statusCode() == 200 && answer.body().equals(configuration(version)) ? true : null;
        });
    }

    private void awaitNoInstance() {
        StoreCluster.await("the instance is closed", () -> supervisor.current().isEmpty() ? true : null);
    }

    @Test
    void shouldTakePartAgainWhenItsDiskCanBeWrittenAgain() {
        cluster.start(1, true);
        cluster.start(2, true);
        startSupervised(3);
        replaceConfiguration(1, 1);
        awaitConfiguration(3, 1);

        isFull.set(true);
        replaceConfiguration(1, 2);
        awaitNoInstance();
        replaceConfiguration(2, 3);
        isFull.set(false);

        awaitConfiguration(3, 3);
        // Without host 1, a change needs the storage of host 3.
        cluster.stop(1);
        replaceConfiguration(2, 4);
        awaitConfiguration(3, 4);
        assertEquals(List.of(), failures);
    }

    @Test
    void shouldTakePartWhenItsDiskCouldNotBeWrittenAtItsStart() {
        isFull.set(true);
        cluster.start(1, true);
        cluster.start(2, true);
        startSupervised(3);
        replaceConfiguration(1, 1);
        assertTrue(supervisor.current().isEmpty());

        isFull.set(false);

        awaitConfiguration(3, 1);
        assertEquals(List.of(), failures);
    }

    @Test
    void shouldStopPromptlyAndApplySettingsWhileItWaitsForItsDisk() {
        isFull.set(true);
        startSupervised(3);
        awaitNoInstance();

        long begin = System.nanoTime();
        supervisor.reload(cluster.settings(3, false));
        supervisor.stop();

        assertTrue(System.nanoTime() - begin < TimeUnit.MILLISECONDS.toNanos(PROMPT_STOP_MILLISECONDS));
        assertEquals(List.of(), failures);
    }

    /** The state after an error is unknown, so that only a new process helps. */
    @Test
    void shouldFailWhenStorageEndsWithAnError() {
        cluster.start(1, true);
        cluster.start(2, true);
        startSupervised(3);
        replaceConfiguration(1, 1);
        awaitConfiguration(3, 1);

        writeError = () -> new OutOfMemoryError("Java heap space");
        replaceConfiguration(1, 2);

        StoreCluster.await("the process has failed", () -> failures.isEmpty() ? null : true);
        assertEquals(OutOfMemoryError.class, failures.getFirst().getClass());
    }
}
