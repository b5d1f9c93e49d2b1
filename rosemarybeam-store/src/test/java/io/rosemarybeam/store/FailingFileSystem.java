package io.rosemarybeam.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.rosemarybeam.consensus.storage.FileSystem;

/** Files on disk whose writes fail, as without free memory or free space. Safe for use by several threads. */
final class FailingFileSystem implements FileSystem {
    private final FileSystem files;
    private volatile Supplier<Error> writeError = () -> null;
    private volatile BooleanSupplier isFull = () -> false;

    FailingFileSystem(FileSystem files) {
        this.files = files;
    }

    /** Refuses writes as long as the condition holds, as a full disk does. */
    void refuseWritesWhile(BooleanSupplier condition) {
        isFull = condition;
    }

    /** Makes every following write end with an error. */
    void failWrites(Supplier<Error> error) {
        writeError = error;
    }

    @Override
    public List<String> list() throws IOException {
        return files.list();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return files.read(name);
    }

    @Override
    public byte[] read(String name, long position, int length) throws IOException {
        return files.read(name, position, length);
    }

    @Override
    public AppendFile openForAppend(String name) throws IOException {
        AppendFile file = files.openForAppend(name);
        return new AppendFile() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                Error error = writeError.get();
                if (error != null) {
                    throw error;
                }
                if (isFull.getAsBoolean()) {
                    throw new IOException("No space left on device");
                }
                file.write(bytes);
            }

            @Override
            public void sync() throws IOException {
                file.sync();
            }

            @Override
            public long size() {
                return file.size();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }

    @Override
    public void truncate(String name, long size) throws IOException {
        files.truncate(name, size);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        files.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
        files.delete(name);
    }

    @Override
    public void syncFolder() throws IOException {
        files.syncFolder();
    }

    @Override
    public void close() throws IOException {
        files.close();
    }
}
