package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with seconds since its start. Safe for use by several threads. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void log(String format, Object... values) {
        String text = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, values);
        out.println(text);
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
