package io.rosemarybeam.consensus.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.StorageException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.consensus.storage.FileSystem.AppendFile;

/**
 * Keeps the newest records of one kind in the files of one folder; the oldest files are deleted.
 *
 * <p>It is meant for facts whose loss costs little: a record that cannot be read is skipped, and a failed write can be repeated.
 * Each file begins with a record that sums up what is still needed of the deleted ones.
 *
 * <p>Invariants: when {@link #append} returns, the records are durable. The files have at most twice {@link #FILE_BYTES}, plus
 * one record each. Confined to one thread at a time.
 *
 * @param <T> class of the records
 */
public final class RecordJournal<T extends Record> implements AutoCloseable {
    /** Size from which on a new file is started. */
    static final long FILE_BYTES = 4 * 1024 * 1024;

    /** Maximum number of files; a disk on which every write fails would otherwise fill with empty ones. */
    static final int MAXIMUM_FILES = 8;

    private static final String PREFIX = "journal-";

    private static final EventLog LOG = EventLog.of(RecordJournal.class);

    private final FileSystem files;
    private final Class<T> type;

    /** Sizes of the files in bytes, by number. */
    private final TreeMap<Long, Long> sizes = new TreeMap<>();

    private Optional<AppendFile> current = Optional.empty();

    private RecordJournal(FileSystem files, Class<T> type) {
        this.files = files;
        this.type = type;
    }

    /**
     * Opens a journal; {@link #load} must be called before anything is appended.
     *
     * @param files the files, which are closed with the journal
     * @param type class of the records
     * @param <T> class of the records
     * @return the journal
     */
    public static <T extends Record> RecordJournal<T> open(FileSystem files, Class<T> type) {
        return new RecordJournal<>(files, type);
    }

    /**
     * What a journal holds. Immutable, provided that the records are.
     *
     * @param records the records, the oldest first
     * @param isWhole whether no record is missing, apart from one whose write was interrupted
     * @param <T> class of the records
     */
    public record Content<T extends Record>(List<T> records, boolean isWhole) {}

    /**
     * Reads the stored records, the oldest first. An incomplete record at the end of a file is left out, as its write was
     * interrupted.
     *
     * @return the records, and whether nothing else was left out
     */
    public Content<T> load() {
        List<T> records = new ArrayList<>();
        boolean isWhole = true;
        try {
            for (String name : files.list()) {
                if (name.startsWith(PREFIX)) {
                    isWhole &= load(name, records);
                }
            }
        } catch (IOException failure) {
            LOG.log(Event.JOURNAL_DAMAGED, failure, "file", PREFIX, "records", records.size());
            isWhole = false;
        }
        return new Content<>(records, isWhole);
    }

    private boolean load(String name, List<T> records) {
        try {
            long number = Long.parseLong(name.substring(PREFIX.length()));
            // A file that cannot be read counts too, so that its number is not used again.
            sizes.put(number, 0L);
            byte[] content = files.read(name);
            sizes.put(number, (long) content.length);
            for (byte[] body : RecordFile.decode(name, content, true).bodies()) {
                records.add(MessageCodec.decode(body, type));
            }
            return true;
        } catch (IOException | RuntimeException failure) {
            LOG.log(Event.JOURNAL_DAMAGED, failure, "file", name, "records", records.size());
            return false;
        }
    }

    /**
     * Appends records and makes them durable.
     *
     * @param records the records
     * @param summary the first record of a new file, if one is started
     * @throws IOException if they cannot be written; the records can be appended again, which starts a new file
     */
    public void append(List<T> records, Supplier<T> summary) throws IOException {
        try {
            AppendFile file = current.isPresent() ? current.get() : start(summary);
            for (T next : records) {
                RecordFile.append(file, next);
            }
            file.sync();
            sizes.put(sizes.lastKey(), file.size());
            if (file.size() >= FILE_BYTES) {
                closeCurrent();
            }
        } catch (IOException | RuntimeException failure) {
            // What follows an incomplete record could not be read.
            try {
                closeCurrent();
            } catch (IOException unclosed) {
                failure.addSuppressed(unclosed);
            }
            throw failure;
        }
    }

    private AppendFile start(Supplier<T> summary) throws IOException {
        deleteOldest();
        long number = sizes.isEmpty() ? 1 : sizes.lastKey() + 1;
        AppendFile file = files.openForAppend(PREFIX + String.format("%012d", number));
        current = Optional.of(file);
        sizes.put(number, 0L);
        files.syncFolder();
        RecordFile.append(file, summary.get());
        return file;
    }

    /** Deletes files until those that remain are needed to keep {@link #FILE_BYTES} of records. */
    private void deleteOldest() throws IOException {
        while (!sizes.isEmpty()) {
            long oldest = sizes.firstKey();
            long newer = sizes.tailMap(oldest, false).values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
            if (newer < FILE_BYTES && sizes.size() < MAXIMUM_FILES) {
                return;
            }
            files.delete(PREFIX + String.format("%012d", oldest));
            sizes.remove(oldest);
        }
    }

    private void closeCurrent() throws IOException {
        Optional<AppendFile> closing = current;
        current = Optional.empty();
        if (closing.isPresent()) {
            closing.get().close();
        }
    }

    @Override
    public void close() {
        try {
            closeCurrent();
            files.close();
        } catch (IOException failure) {
            throw new StorageException(ErrorCode.SYNC_FAILED, "cannot close the journal", failure);
        }
    }
}
