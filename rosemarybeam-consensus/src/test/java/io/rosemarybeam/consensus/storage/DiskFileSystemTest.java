package io.rosemarybeam.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against files that take memory of their size outside the heap, beyond what a machine has. */
class DiskFileSystemTest {
    /** Size of a file that is large beside the memory that reading and writing may take, in bytes. */
    private static final int FILE_BYTES = 20 * 1024 * 1024;

    /** Memory outside the heap that writing and reading may take, with the classes that are loaded for it, in bytes. */
    private static final long MAXIMUM_WORKING_BYTES = 6 * 1024 * 1024;

    /** Time for a program to start, write and read a file, in seconds. */
    private static final int PROGRAM_SECONDS = 60;

    @TempDir
    Path folder;

    @Test
    void shouldReadWhatWasWrittenWhenTheFileIsLargerThanASlice() throws IOException {
        byte[] content = new byte[200_001];
        new SplittableRandom(1).nextBytes(content);
        try (FileSystem files = FileSystem.of(folder)) {
            try (FileSystem.AppendFile file = files.openForAppend("file")) {
                ByteBuffer middle = ByteBuffer.wrap(content, 1, content.length - 2);
                file.write(ByteBuffer.wrap(content, 0, 1));
                file.write(middle);
                assertEquals(content.length - 1, middle.position());
                file.write(ByteBuffer.wrap(content, content.length - 1, 1));
                assertEquals(content.length, file.size());
            }
            assertArrayEquals(content, files.read("file"));
        }
    }

    /** The memory of a machine is only known from outside the heap, so a process of its own measures its peak. */
    @Test
    void shouldTakeLittleMemoryOutsideTheHeapWhenALargeFileIsWrittenAndRead() throws Exception {
        Path output = folder.resolve("output");
        Process program = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xms96m",
                        "-Xmx96m",
                        "-XX:+AlwaysPreTouch",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        LargeFileProgram.class.getName(),
                        folder.resolve("data").toString())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            assertTrue(program.waitFor(PROGRAM_SECONDS, TimeUnit.SECONDS), "the program has not ended");
        } finally {
            program.destroyForcibly();
        }
        List<String> lines = Files.readAllLines(output);
        assertEquals(0, program.exitValue(), lines.toString());

        long growth = Long.parseLong(lines.getLast());
        assertTrue(growth < MAXIMUM_WORKING_BYTES, "the peak grew by " + growth + " bytes");
    }

    /** Writes and reads a large file, and prints by how many bytes the peak of the resident memory grew. */
    static final class LargeFileProgram {
        private LargeFileProgram() {}

        public static void main(String[] arguments) throws IOException {
            byte[] content = new byte[FILE_BYTES];
            try (FileSystem files = FileSystem.of(Path.of(arguments[0]))) {
                transfer(files, new byte[1]);
                long before = peakBytes();
                transfer(files, content);
                System.out.println(peakBytes() - before);
            }
        }

        private static void transfer(FileSystem files, byte[] content) throws IOException {
            try (FileSystem.AppendFile file = files.openForAppend("file-" + content.length)) {
                file.write(ByteBuffer.wrap(content));
            }
            files.read("file-" + content.length);
        }

        private static long peakBytes() throws IOException {
            String line = Files.readAllLines(Path.of("/proc/self/status")).stream()
                    .filter(candidate -> candidate.startsWith("VmHWM:"))
                    .findFirst()
                    .orElseThrow();
            return 1024 * Long.parseLong(line.replaceAll("[^0-9]", ""));
        }
    }
}
