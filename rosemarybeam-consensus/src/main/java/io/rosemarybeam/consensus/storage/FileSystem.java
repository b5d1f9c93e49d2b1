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
     * Returns the names of all files.
     *
     * @return the names in ascending order
     * @throws IOException if the folder cannot be read
     */
    List<String> list() throws IOException;

    /**
     * Reads a whole file.
     *
     * @param name its name
     * @return the content
     * @throws IOException if it cannot be read
     */
    byte[] read(String name) throws IOException;

    /**
     * Opens a file for appending and creates it if it is missing.
     *
     * @param name its name
     * @return the open file
     * @throws IOException if it cannot be opened
     */
    AppendFile openForAppend(String name) throws IOException;

    /**
     * Shortens a file.
     *
     * @param name its name
     * @param size the new size, in bytes
     * @throws IOException if it cannot be shortened
     */
    void truncate(String name, long size) throws IOException;

    /**
     * Renames a file and replaces any file of the new name. Durable after {@link #syncFolder}.
     *
     * @param from its name
     * @param to the new name
     * @throws IOException if it cannot be renamed
     */
    void rename(String from, String to) throws IOException;

    /**
     * Deletes a file. Durable after {@link #syncFolder}.
     *
     * @param name its name
     * @throws IOException if it cannot be deleted
     */
    void delete(String name) throws IOException;

    /**
     * Makes creations, renames and deletions durable.
     *
     * @throws IOException if the sync fails
     */
    void syncFolder() throws IOException;

    /**
     * Opens a folder on disk, creates it if it is missing, and locks it against other processes.
     *
     * @param folder the folder
     * @return its files
     * @throws io.rosemarybeam.common.error.StorageException with
     *     {@link io.rosemarybeam.common.error.ErrorCode#DATA_FOLDER_INVALID} if the folder cannot be used
     */
    static FileSystem of(Path folder) {
        return DiskFileSystem.open(folder);
    }

    /** A file open for appending. Confined to one thread at a time. */
    interface AppendFile extends Closeable {
        /**
         * Appends bytes. Durable after {@link #sync}.
         *
         * @param bytes the bytes
         * @throws IOException if they cannot be written
         */
        void write(ByteBuffer bytes) throws IOException;

        /**
         * Makes everything written durable.
         *
         * @throws IOException if the sync fails
         */
        void sync() throws IOException;

        /**
         * Returns the size of the file.
         *
         * @return the size, in bytes
         */
        long size();
    }
}
