package io.rosemarybeam.consensus.storage;

import java.io.EOFException;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.IntUnaryOperator;
import java.util.random.RandomGenerator;

/**
 * Files in memory that can lose unsynced data in a crash, fail to sync or run out of space. Confined to the thread of the
 * test.
 *
 * <p>A crash retains the synced part of every file and a random prefix of the data written after it. Each name that was
 * created, renamed or deleted since the last sync of the folder is retained or reverted, independently of the others.
 */
public final class FaultyFileSystem implements FileSystem {
    private final TreeMap<String, Content> durableNames = new TreeMap<>();
    private final TreeMap<String, Content> names = new TreeMap<>();
    private boolean failSyncs;
    private int folderSyncsUntilFailure = Integer.MAX_VALUE;
    private long capacity = Long.MAX_VALUE;
    private int syncs;

    /** Makes every sync fail until the next crash of the machine or end of the process. */
    public void failSyncs() {
        failSyncs = true;
    }

    /** Makes every sync of the folder fail until the next crash of the machine or end of the process. */
    public void failFolderSyncs() {
        failFolderSyncsAfter(0);
    }

    /** Makes every sync of the folder except the next ones fail until the next crash or end of the process. */
    public void failFolderSyncsAfter(int successful) {
        folderSyncsUntilFailure = successful;
    }

    /** Simulates the end of the process, after which the files contain what was written, whether or not it was synced. */
    public void endProcess() {
        failSyncs = false;
        folderSyncsUntilFailure = Integer.MAX_VALUE;
    }

    /** Simulates a crash of the machine that reverts all unsynced data and names. */
    public void crash() {
        crash(unsynced -> 0, () -> false);
    }

    /** Sets the maximum total size of all files, in bytes. */
    public void setCapacity(long bytes) {
        capacity = bytes;
    }

    /** Returns the number of successful syncs. */
    public int syncs() {
        return syncs;
    }

    /** Simulates a crash of the machine, such as a power failure. */
    public void crash(RandomGenerator random) {
        crash(unsynced -> random.nextInt(unsynced + 1), random::nextBoolean);
    }

    private void crash(IntUnaryOperator retainedOfUnsynced, BooleanSupplier retainsName) {
        TreeSet<String> changed = new TreeSet<>(names.keySet());
        changed.addAll(durableNames.keySet());
        changed.removeIf(name -> names.get(name) == durableNames.get(name));
        for (String name : changed) {
            Content retained = retainsName.getAsBoolean() ? names.get(name) : durableNames.get(name);
            if (retained == null) {
                durableNames.remove(name);
            } else {
                durableNames.put(name, retained);
            }
        }
        names.clear();
        names.putAll(durableNames);
        for (Content content : names.values()) {
            int unsynced = content.bytes.length - content.syncedBytes;
            int retained = unsynced <= 0 ? 0 : retainedOfUnsynced.applyAsInt(unsynced);
            content.bytes = Arrays.copyOf(content.bytes, content.syncedBytes + retained);
            content.syncedBytes = content.bytes.length;
        }
        failSyncs = false;
        folderSyncsUntilFailure = Integer.MAX_VALUE;
    }

    /** Damages one byte of a file. */
    public void corrupt(String name, int position) {
        names.get(name).bytes[position] ^= 0x55;
    }

    /** Replaces the durable content of a file. */
    public void replace(String name, byte[] bytes) {
        Content content = names.get(name);
        content.bytes = bytes.clone();
        content.syncedBytes = bytes.length;
    }

    /** Removes bytes at the end of a file, like an interrupted write. */
    public void truncateTail(String name, int bytes) {
        Content content = names.get(name);
        content.bytes = Arrays.copyOf(content.bytes, content.bytes.length - bytes);
        content.syncedBytes = content.bytes.length;
    }

    @Override
    public List<String> list() {
        return List.copyOf(names.keySet());
    }

    @Override
    public byte[] read(String name) throws IOException {
        return find(name).bytes.clone();
    }

    @Override
    public byte[] read(String name, long position, int length) throws IOException {
        byte[] bytes = find(name).bytes;
        if (position + length > bytes.length) {
            throw new EOFException(name + " ends at byte " + bytes.length + " of " + (position + length));
        }
        return Arrays.copyOfRange(bytes, (int) position, (int) position + length);
    }

    private Content find(String name) throws IOException {
        Content content = names.get(name);
        if (content == null) {
            throw new FileNotFoundException(name);
        }
        return content;
    }

    @Override
    public AppendFile openForAppend(String name) {
        return new FakeAppendFile(names.computeIfAbsent(name, ignored -> new Content()));
    }

    @Override
    public void truncate(String name, long size) throws IOException {
        Content content = find(name);
        content.bytes = Arrays.copyOf(content.bytes, (int) size);
        content.syncedBytes = content.bytes.length;
    }

    @Override
    public void rename(String from, String to) throws IOException {
        names.put(to, find(from));
        names.remove(from);
    }

    @Override
    public void delete(String name) throws IOException {
        find(name);
        names.remove(name);
    }

    @Override
    public void syncFolder() throws IOException {
        if (folderSyncsUntilFailure == 0) {
            throw new IOException("sync of the folder failed");
        }
        folderSyncsUntilFailure--;
        sync();
        durableNames.clear();
        durableNames.putAll(names);
    }

    private void sync() throws IOException {
        if (failSyncs) {
            throw new IOException("sync failed");
        }
        syncs++;
    }

    @Override
    public void close() {}

    private long size() {
        return names.values().stream()
                .mapToLong(content -> content.bytes.length)
                .sum();
    }

    /** Content of a file. Confined to the thread of the test. */
    private static final class Content {
        private byte[] bytes = {};
        private int syncedBytes;
    }

    /** An open file. Confined to the thread of the test. */
    private final class FakeAppendFile implements AppendFile {
        private final Content content;

        FakeAppendFile(Content content) {
            this.content = content;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            if (FaultyFileSystem.this.size() + bytes.remaining() > capacity) {
                throw new IOException("no space left");
            }
            int start = content.bytes.length;
            content.bytes = Arrays.copyOf(content.bytes, start + bytes.remaining());
            bytes.get(content.bytes, start, bytes.remaining());
        }

        @Override
        public void sync() throws IOException {
            FaultyFileSystem.this.sync();
            content.syncedBytes = content.bytes.length;
        }

        @Override
        public long size() {
            return content.bytes.length;
        }

        @Override
        public void close() {}
    }
}
