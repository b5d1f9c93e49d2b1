package io.rosemarybeam.consensus.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.StorageException;

/**
 * Encodes and decodes the records of a file. A record is the length of the body, the CRC32C checksum of the body, both as
 * 32-bit big-endian integers, and the body. Stateless and safe for use by several threads.
 */
final class RecordFile {
    /** Size of length and checksum. */
    private static final int HEADER_BYTES = 8;

    private RecordFile() {}

    static ByteBuffer encode(byte[] body) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + body.length);
        buffer.putInt(body.length);
        buffer.putInt(checksum(body, 0, body.length));
        buffer.put(body);
        return buffer.flip();
    }

    /**
     * Decodes all records. Only the last record can be incomplete after a crash, because each record is synced before the
     * next one is written. An invalid record counts as incomplete if its header or its length reaches the end of the file,
     * or if the rest of the file consists of zeros; the file is then valid up to the start of that record.
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
            int remaining = content.length - position;
            int length = remaining < HEADER_BYTES
                    ? -1
                    : ByteBuffer.wrap(content, position, 4).getInt();
            boolean reachesEnd = remaining < HEADER_BYTES || length >= remaining - HEADER_BYTES;
            boolean valid = length > 0
                    && length <= remaining - HEADER_BYTES
                    && ByteBuffer.wrap(content, position + 4, 4).getInt()
                            == checksum(content, position + HEADER_BYTES, length);
            if (!valid) {
                if (mayBeTorn && (reachesEnd || isZero(content, position))) {
                    return new Records(bodies, position);
                }
                throw new StorageException(
                        ErrorCode.CORRUPT_RECORD, name + " is damaged at byte " + position + " of " + content.length);
            }
            int start = position + HEADER_BYTES;
            bodies.add(Arrays.copyOfRange(content, start, start + length));
            position = start + length;
        }
        return new Records(bodies, position);
    }

    private static boolean isZero(byte[] content, int from) {
        for (int index = from; index < content.length; index++) {
            if (content[index] != 0) {
                return false;
            }
        }
        return true;
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, offset, length);
        return (int) checksum.getValue();
    }

    /** The bodies of the records of a file, and the size of the valid part in bytes. Immutable. */
    record Records(List<byte[]> bodies, int validBytes) {}
}
