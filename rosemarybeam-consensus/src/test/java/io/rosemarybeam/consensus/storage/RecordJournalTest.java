package io.rosemarybeam.consensus.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against records that are lost by a kill, and against files that fill the disk. */
class RecordJournalTest {
    private static final Fact SUMMARY = new Fact("summary", new byte[0]);

    @TempDir
    Path folder;

    /** A record of the tests. Immutable, provided that the array is not changed. */
    record Fact(String name, byte[] content) {}

    private RecordJournal<Fact> open() {
        return RecordJournal.open(FileSystem.of(folder), Fact.class);
    }

    private List<String> names(RecordJournal.Content<Fact> content) {
        return content.records().stream().map(Fact::name).toList();
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(file -> file.getFileName().toString().startsWith("journal"))
                    .sorted()
                    .toList();
        }
    }

    private static Fact fact(String name) {
        return new Fact(name, new byte[10]);
    }

    @Test
    void shouldReturnAllRecordsInOrderWhenItIsOpenedAgain() throws IOException {
        for (int round = 0; round < 3; round++) {
            try (RecordJournal<Fact> journal = open()) {
                journal.load();
                journal.append(List.of(fact("a" + round), fact("b" + round)), () -> SUMMARY);
            }
        }
        try (RecordJournal<Fact> journal = open()) {
            RecordJournal.Content<Fact> content = journal.load();

            assertEquals(List.of("summary", "a0", "b0", "summary", "a1", "b1", "summary", "a2", "b2"), names(content));
            assertTrue(content.isWhole());
        }
    }

    /** A process may be killed within a write. */
    @Test
    void shouldReturnTheRecordsBeforeAnIncompleteOneAtAnyPosition() throws IOException {
        try (RecordJournal<Fact> journal = open()) {
            journal.load();
            journal.append(List.of(fact("a"), fact("b")), () -> SUMMARY);
        }
        byte[] whole = Files.readAllBytes(files().getFirst());
        int last = whole.length / 3;
        List<String> expected = List.of("summary", "a");
        for (int length = whole.length - 1; length > whole.length - last / 2; length--) {
            Files.write(files().getFirst(), Arrays.copyOf(whole, length));
            try (RecordJournal<Fact> journal = open()) {
                assertEquals(expected, names(journal.load()));
            }
        }
    }

    /** Damage inside a file must neither stop the host nor pass unnoticed. */
    @Test
    void shouldReportThatRecordsAreMissingWhenAFileIsDamaged() throws IOException {
        try (RecordJournal<Fact> journal = open()) {
            journal.load();
            journal.append(List.of(fact("a"), fact("b")), () -> SUMMARY);
        }
        byte[] content = Files.readAllBytes(files().getFirst());
        content[10] ^= 1;
        Files.write(files().getFirst(), content);

        try (RecordJournal<Fact> journal = open()) {
            assertFalse(journal.load().isWhole());
            journal.append(List.of(fact("c")), () -> SUMMARY);
        }
        try (RecordJournal<Fact> journal = open()) {
            assertEquals(List.of("summary", "c"), names(journal.load()));
        }
    }

    @Test
    void shouldDeleteTheOldestFilesWhenNewerOnesAreLargeEnough() throws IOException {
        int written = 10;
        try (RecordJournal<Fact> journal = open()) {
            journal.load();
            for (int index = 0; index < written; index++) {
                byte[] content = new byte[(int) RecordJournal.FILE_BYTES / 2];
                journal.append(List.of(new Fact("f" + index, content)), () -> SUMMARY);
            }
        }
        assertEquals(2, files().size());
        try (RecordJournal<Fact> journal = open()) {
            List<String> names = new ArrayList<>(names(journal.load()));
            names.removeIf("summary"::equals);
            assertEquals(
                    IntStream.range(written - names.size(), written)
                            .mapToObj(index -> "f" + index)
                            .toList(),
                    names);
            assertTrue(names.size() >= 3, names::toString);
        }
    }

    /** A host that is restarted often, or cannot write, would leave a file each time. */
    @Test
    void shouldKeepAFewFilesWhenItIsOpenedManyTimes() throws IOException {
        for (int round = 0; round < 3 * RecordJournal.MAXIMUM_FILES; round++) {
            try (RecordJournal<Fact> journal = open()) {
                journal.load();
                journal.append(List.of(fact("a" + round)), () -> SUMMARY);
            }
        }
        assertEquals(RecordJournal.MAXIMUM_FILES, files().size());
    }
}
