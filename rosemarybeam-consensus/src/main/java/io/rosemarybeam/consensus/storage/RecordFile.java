package io.rosemarybeam.consensus.storage;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.StorageException;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.consensus.storage.FileSystem.AppendFile;

/**
 * Encodes and decodes the records of a file. A record is the length of the body, the CRC32C checksum of the body, both as
 * 32-bit big-endian integers, and the body. Stateless and safe for use by several threads.
 */
final class RecordFile {
    /** Size of length and checksum. */
    private static final int HEADER_BYTES = 8;

    /** Size of the buffer through which a record is written, in bytes. */
    private static final int CHUNK_BYTES = 64 * 1024;

    private RecordFile() {}

    static ByteBuffer encode(byte[] body) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + body.length);
        buffer.putInt(body.length);
        buffer.putInt(checksum(body, 0, body.length));
        buffer.put(body);
        return buffer.flip();
    }

    /**
     * Appends the record of a message, whose encoding is never in memory as a whole: it is encoded once for its length and
     * checksum, and a second time to the file, through a buffer of {@value #CHUNK_BYTES} bytes.
     *
     * @param file the file
     * @param message the body, which must not change meanwhile
     * @return the size of the record, in bytes
     * @throws IOException if the file cannot be written, or the second encoding differs from the first
     */
    static long append(AppendFile file, Record message) throws IOException {
        ChunkedBody measured = new ChunkedBody(chunk -> {});
        MessageCodec.encode(message, measured);
        measured.flush();
        if (measured.bytes > Integer.MAX_VALUE) {
            throw new IOException("a record of " + measured.bytes + " bytes exceeds the length field");
        }
        file.write(ByteBuffer.allocate(HEADER_BYTES)
                .putInt((int) measured.bytes)
                .putInt(measured.checksum())
                .flip());
        ChunkedBody written = new ChunkedBody(file::write);
        MessageCodec.encode(message, written);
        written.flush();
        if (written.bytes != measured.bytes || written.checksum() != measured.checksum()) {
            throw new IOException("the message changed while it was written");
        }
        return HEADER_BYTES + written.bytes;
    }

    /**
     * Decodes all records. Each record is synced before the next one is written, so only the last one can be incomplete after
     * a crash, with any bytes in its place. An invalid record counts as incomplete if no valid record follows it, at whatever
     * position, because a damaged length does not tell where the next one starts; the file is then valid up to the start of
     * the incomplete record. Damage to the last record itself cannot be told from an interrupted write.
     *
     * @param name name of the file, for error messages
     * @param content content of the file
     * @param mayBeTorn whether the last record may be incomplete
     * @return the records and the size of the valid part
     * @throws StorageException with {@link ErrorCode#CORRUPT_RECORD} if a record is invalid and may not be incomplete
     */
    static Records decode(String name, byte[] content, boolean mayBeTorn) {
        List<byte[]> bodies = new ArrayList<>();
        int position = 0;
        while (position < content.length) {
            if (!isRecordAt(content, position)) {
                if (mayBeTorn && !hasRecordAfter(content, position)) {
                    return new Records(bodies, position);
                }
                throw new StorageException(
                        ErrorCode.CORRUPT_RECORD, name + " is damaged at byte " + position + " of " + content.length);
            }
            int start = position + HEADER_BYTES;
            int end = start + intAt(content, position);
            bodies.add(Arrays.copyOfRange(content, start, end));
            position = end;
        }
        return new Records(bodies, position);
    }

    /**
     * Reads bytes near the end of the first record of a file.
     *
     * @param files the files
     * @param name name of the file
     * @param endBytes size of the end of the body to which the offset refers, in bytes
     * @param offset offset in that end, in bytes
     * @param length number of bytes
     * @return the bytes, whose checksum is not verified
     * @throws IOException if they cannot be read
     */
    static byte[] readEnd(FileSystem files, String name, int endBytes, int offset, int length) throws IOException {
        int bodyBytes = intAt(files.read(name, 0, HEADER_BYTES), 0);
        return files.read(name, HEADER_BYTES + (long) bodyBytes - endBytes + offset, length);
    }

    /**
     * Verifies the checksum of the first record of a file, of which one chunk at a time is in memory.
     *
     * @param files the files
     * @param name name of the file
     * @throws IOException if the file cannot be read
     * @throws StorageException with {@link ErrorCode#CORRUPT_RECORD} if the checksum differs
     */
    static void verify(FileSystem files, String name) throws IOException {
        byte[] header = files.read(name, 0, HEADER_BYTES);
        int bodyBytes = intAt(header, 0);
        CRC32C checksum = new CRC32C();
        for (int position = 0; position < bodyBytes; position += CHUNK_BYTES) {
            checksum.update(
                    files.read(name, HEADER_BYTES + (long) position, Math.min(CHUNK_BYTES, bodyBytes - position)));
        }
        if ((int) checksum.getValue() != intAt(header, Integer.BYTES)) {
            throw new StorageException(
                    ErrorCode.CORRUPT_RECORD, name + " has another checksum than it was stored with");
        }
    }

    private static boolean hasRecordAfter(byte[] content, int position) {
        for (int next = position + 1; next < content.length; next++) {
            if (isRecordAt(content, next)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isRecordAt(byte[] content, int position) {
        int available = content.length - position - HEADER_BYTES;
        if (available <= 0) {
            return false;
        }
        int length = intAt(content, position);
        return length > 0
                && length <= available
                && intAt(content, position + 4) == checksum(content, position + HEADER_BYTES, length);
    }

    private static int intAt(byte[] content, int position) {
        return ByteBuffer.wrap(content, position, Integer.BYTES).getInt();
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, offset, length);
        return (int) checksum.getValue();
    }

    /** Receives the chunks of a body in order. */
    private interface ChunkTarget {
        void write(ByteBuffer chunk) throws IOException;
    }

    /** Collects a body in chunks, and computes its length and checksum. Confined to one thread. */
    private static final class ChunkedBody extends OutputStream {
        private final ChunkTarget target;
        private final ByteBuffer chunk = ByteBuffer.allocate(CHUNK_BYTES);
        private final CRC32C checksum = new CRC32C();
        private long bytes;

        ChunkedBody(ChunkTarget target) {
            this.target = target;
        }

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] source, int offset, int length) throws IOException {
            int position = offset;
            while (position < offset + length) {
                int copied = Math.min(chunk.remaining(), offset + length - position);
                chunk.put(source, position, copied);
                position += copied;
                if (!chunk.hasRemaining()) {
                    writeChunk();
                }
            }
        }

        /** Passes on what is collected, if anything; the encoder may call this at any time. */
        @Override
        public void flush() throws IOException {
            if (chunk.position() > 0) {
                writeChunk();
            }
        }

        private void writeChunk() throws IOException {
            chunk.flip();
            bytes += chunk.remaining();
            checksum.update(chunk.duplicate());
            target.write(chunk);
            chunk.clear();
        }

        int checksum() {
            return (int) checksum.getValue();
        }
    }

    /** The bodies of the records of a file, and the size of the valid part in bytes. Immutable. */
    record Records(List<byte[]> bodies, int validBytes) {}
}
