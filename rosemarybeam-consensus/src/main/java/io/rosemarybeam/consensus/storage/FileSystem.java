package io.rosemarybeam.consensus.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/**
 * The files of one folder. Names are plain file names without a path. Confined to one thread at a time.
 */
public interface FileSystem extends Closeable {
    /**
     * Lists the names of all files.
     *
     * @return the names in ascending order
     * @throws IOException if the folder cannot be read
     */
    List<String> list() throws IOException;

    /**
     * Reads the complete content of a file.
     *
     * @param name name of the file
     * @return the content
     * @throws IOException if the file does not exist or cannot be read
     */
    byte[] read(String name) throws IOException;

    /**
     * Reads a part of a file.
     *
     * @param name name of the file
     * @param position position of the first byte
     * @param length number of bytes
     * @return the part
     * @throws IOException if the file does not exist, ends before the end of the part or cannot be read
     */
    byte[] read(String name, long position, int length) throws IOException;

    /**
     * Opens a file for appending and creates it if it is missing. A creation is durable after {@link #syncFolder}.
     *
     * @param name name of the file
     * @return the open file
     * @throws IOException if it cannot be opened
     */
    AppendFile openForAppend(String name) throws IOException;

    /**
     * Truncates a file and makes the new size durable.
     *
     * @param name name of the file
     * @param size the new size, in bytes
     * @throws IOException if the file cannot be truncated
     */
    void truncate(String name, long size) throws IOException;

    /**
     * Renames a file atomically and replaces any file of the new name. Durable after {@link #syncFolder}.
     *
     * @param from the current name
     * @param to the new name
     * @throws IOException if it cannot be renamed
     */
    void rename(String from, String to) throws IOException;

    /**
     * Deletes a file. Durable after {@link #syncFolder}.
     *
     * @param name name of the file
     * @throws IOException if it cannot be deleted
     */
    void delete(String name) throws IOException;

    /**
     * Makes the creations, renames and deletions so far durable.
     *
     * @throws IOException if the sync fails
     */
    void syncFolder() throws IOException;

    /**
     * Opens a folder on disk and creates it if it is missing. The folder is locked against other processes, and against a
     * second use in this process, until the file system is closed.
     *
     * @param folder the folder
     * @return the files of the folder
     * @throws io.rosemarybeam.common.error.StorageException with
     *     {@link io.rosemarybeam.common.error.ErrorCode#DATA_FOLDER_INVALID} if the folder cannot be used or is locked
     */
    static FileSystem of(Path folder) {
        return DiskFileSystem.open(folder);
    }

    /** A file open for appending. Confined to one thread at a time. */
    interface AppendFile extends Closeable {
        /**
         * Appends bytes. Durable after {@link #sync}.
         *
         * @param bytes the bytes to write, all of which are consumed
         * @throws IOException if they cannot be written
         */
        void write(ByteBuffer bytes) throws IOException;

        /**
         * Makes all bytes written so far durable.
         *
         * @throws IOException if the sync fails
         */
        void sync() throws IOException;

        /** Returns the size of the file, in bytes. */
        long size();
    }
}
