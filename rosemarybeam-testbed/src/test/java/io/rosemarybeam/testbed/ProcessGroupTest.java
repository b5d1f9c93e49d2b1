package io.rosemarybeam.testbed;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a soak that overlooks processes that end by themselves, or takes those that it ends for such. */
class ProcessGroupTest {
    private static final List<String> FLAGS = List.of("-Xmx16m", "-XX:TieredStopAtLevel=1");

    @TempDir
    Path folder;

    private final List<String> ownEnds = new CopyOnWriteArrayList<>();

    /** Runs until it is ended. */
    static final class Waiting {
        private Waiting() {}

        public static void main(String[] arguments) throws InterruptedException {
            Thread.sleep(60_000);
        }
    }

    @Test
    void shouldReportExitCodeWhenProcessEndsByItself() {
        try (ProcessGroup group = new ProcessGroup(folder)) {
            group.onOwnEnd((name, code) -> ownEnds.add(name + " " + code));
            group.start("missing", FLAGS, "io.rosemarybeam.Missing");
            group.process("missing").onExit().join();
            awaitOwnEnd();
        }

        assertEquals(List.of("missing 1"), ownEnds);
    }

    @Test
    void shouldReportNothingWhenProcessIsKilled() {
        try (ProcessGroup group = new ProcessGroup(folder)) {
            group.onOwnEnd((name, code) -> ownEnds.add(name + " " + code));
            group.start("killed", FLAGS, Waiting.class.getName());
            group.start("closed", FLAGS, Waiting.class.getName());
            group.kill("killed");
        }
        SoakTraffic.pause(200);

        assertEquals(List.of(), ownEnds);
    }

    private void awaitOwnEnd() {
        long deadline = SoakReport.now() + 10_000;
        while (ownEnds.isEmpty() && SoakReport.now() < deadline) {
            SoakTraffic.pause(10);
        }
    }
}
