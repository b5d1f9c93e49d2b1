package io.rosemarybeam.consensus.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.StorageException;

/** The files of a folder on disk, which is locked against other users while open. Confined to one thread at a time. */
final class DiskFileSystem implements FileSystem {
    private static final String LOCK_FILE = "lock";

    /**
     * Maximum size of one read or write, in bytes. The JDK copies each through memory of its size outside the heap: one write of
     * 40 MiB raised the resident memory of a process by 40 MiB.
     */
    private static final int SLICE_BYTES = 64 * 1024;

    private final Path folder;
    private final FileChannel lockChannel;

    private DiskFileSystem(Path folder, FileChannel lockChannel) {
        this.folder = folder;
        this.lockChannel = lockChannel;
    }

    static DiskFileSystem open(Path folder) {
        try {
            Files.createDirectories(folder);
            FileChannel channel =
                    FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            FileLock lock = channel.tryLock();
            if (lock == null) {
                channel.close();
                throw new StorageException(ErrorCode.DATA_FOLDER_INVALID, folder + " is locked by another process");
            }
            return new DiskFileSystem(folder, channel);
        } catch (IOException | OverlappingFileLockException failure) {
            throw new StorageException(ErrorCode.DATA_FOLDER_INVALID, "cannot open or lock " + folder, failure);
        }
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.READ)) {
            return read(name, channel, 0, contentBytes(name, channel.size()));
        }
    }

    @Override
    public byte[] read(String name, long position, int length) throws IOException {
        try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.READ)) {
            return read(name, channel, position, length);
        }
    }

    private static byte[] read(String name, FileChannel channel, long position, int length) throws IOException {
        ByteBuffer content = ByteBuffer.allocate(length);
        while (content.hasRemaining()) {
            content.limit(Math.min(length, content.position() + SLICE_BYTES));
            if (channel.read(content, position + content.position()) < 0) {
                throw new EOFException(
                        name + " ends at byte " + (position + content.position()) + " of " + (position + length));
            }
            content.limit(length);
        }
        return content.array();
    }

    private static int contentBytes(String name, long size) throws IOException {
        if (size > Integer.MAX_VALUE) {
            throw new IOException(name + " has " + size + " bytes, more than an array holds");
        }
        return (int) size;
    }

    @Override
    public AppendFile openForAppend(String name) throws IOException {
        FileChannel channel = FileChannel.open(
                folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
        return new DiskAppendFile(channel, channel.size());
    }

    @Override
    public void truncate(String name, long size) throws IOException {
        try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            channel.truncate(size);
            channel.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.delete(folder.resolve(name));
    }

    @Override
    public void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lockChannel.close();
    }

    /** A file on disk. Confined to one thread at a time. */
    private static final class DiskAppendFile implements AppendFile {
        private final FileChannel channel;
        private long size;

        DiskAppendFile(FileChannel channel, long size) {
            this.channel = channel;
            this.size = size;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            int end = bytes.limit();
            while (bytes.position() < end) {
                bytes.limit(Math.min(end, bytes.position() + SLICE_BYTES));
                size += channel.write(bytes);
                bytes.limit(end);
            }
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public long size() {
            return size;
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
