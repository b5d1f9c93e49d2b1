package io.rosemarybeam.testbed;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against broken promises of the real edge and store processes while signals, restarts, configurations and crashes of
 * endpoints overlap: crashing requests that run again, items that are never run again, orders that run twice, wrong answers,
 * work of ended submissions, processes that end by themselves. Each seed begins with another fault of the store hosts: a
 * leader that is paused, a follower that needs a snapshot, a majority paused, a host killed three times, a majority killed.
 */
class SoakTest {
    private static final int SECONDS = 10;

    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void shouldKeepPromisesWhenFaultsOverlap(long seed) throws InterruptedException {
        SoakReport report = SoakTool.run(folder, seed, SECONDS);

        assertEquals(List.of(), report.violations(), report::render);
    }
}
