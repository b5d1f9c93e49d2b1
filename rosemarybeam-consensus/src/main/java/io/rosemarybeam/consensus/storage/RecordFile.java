package io.rosemarybeam.consensus.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.StorageException;

/** The record format {@code length | CRC32C | body}. Stateless and safe for use by several threads. */
final class RecordFile {
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
     * Reads all records. An incomplete record can only be the last one, because each record is synced before the next is
     * written.
     *
     * @param name name of the file, for messages
     * @param content content of the file
     * @param mayBeTorn whether the last record may be incomplete
     * @return the records and the size of the valid part
     * @throws StorageException with {@link ErrorCode#CORRUPT_RECORD} if a record before the end is damaged
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
                        ErrorCode.CORRUPT_RECORD, name + " at byte " + position + " of " + content.length);
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

    /** What a file holds. Immutable. */
    record Records(List<byte[]> bodies, int validBytes) {}
}
