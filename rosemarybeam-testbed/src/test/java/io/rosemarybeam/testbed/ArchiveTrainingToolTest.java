package io.rosemarybeam.testbed;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against class-data archives that lack the classes of a whole path, because the programs refused their settings, served
 * nothing or did not stop in the training run.
 */
class ArchiveTrainingToolTest {
    @TempDir
    Path folder;

    @Test
    void shouldExerciseEveryPathWhenTheProgramsRun() throws InterruptedException {
        SoakReport report = ArchiveTrainingTool.exerciseOnly(folder);

        for (String path : new String[] {
            "lookups answered 200",
            "orders answered 200",
            "streams read to their end",
            "items completed",
            "submissions answered 202"
        }) {
            assertTrue(report.countOf(path) > 0, () -> path + " in\n" + report.render());
        }
        assertEquals(1, report.countOf("both roles taken"), report::render);
        assertEquals(2, report.countOf("programs stopped"), report::render);
    }
}
