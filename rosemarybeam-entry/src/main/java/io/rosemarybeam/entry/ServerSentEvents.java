package io.rosemarybeam.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;

/**
 * Parses a stream of server-sent events.
 *
 * <p>Invariant: the data of an event is delivered once its line is complete; comments and fields other than
 * {@code data} are skipped. Not safe for use by several threads.
 */
final class ServerSentEvents {
    private static final int MAXIMUM_LINE_BYTES = 1_048_576;
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] END_MARK = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    private byte[] line = new byte[256];
    private int length;

    /** Receives the data of one event. */
    @FunctionalInterface
    interface Receiver {
        /**
         * Receives the data of one event.
         *
         * @param buffer holds the data; valid only during the call
         * @param offset offset of its first byte
         * @param count its length in bytes
         * @throws IOException if the data is malformed
         */
        void onData(byte[] buffer, int offset, int count) throws IOException;
    }

    /**
     * Parses the next part of the stream.
     *
     * @param bytes the part
     * @param receiver receives the events that it completes
     * @throws IOException if a line is too long or the receiver rejects its data
     */
    void feed(ByteBuf bytes, Receiver receiver) throws IOException {
        while (bytes.isReadable()) {
            int newline = bytes.bytesBefore((byte) '\n');
            int count = newline < 0 ? bytes.readableBytes() : newline;
            append(bytes, count);
            if (newline >= 0) {
                bytes.skipBytes(1);
                emit(receiver);
                length = 0;
            }
        }
    }

    private void append(ByteBuf bytes, int count) throws IOException {
        if (length + count > MAXIMUM_LINE_BYTES) {
            throw new IOException("an event is longer than " + MAXIMUM_LINE_BYTES + " bytes");
        }
        if (length + count > line.length) {
            line = Arrays.copyOf(line, Math.max(line.length * 2, length + count));
        }
        bytes.readBytes(line, length, count);
        length += count;
    }

    private void emit(Receiver receiver) throws IOException {
        int end = length > 0 && line[length - 1] == '\r' ? length - 1 : length;
        if (end < DATA.length || !Arrays.equals(line, 0, DATA.length, DATA, 0, DATA.length)) {
            return;
        }
        int start = DATA.length;
        while (start < end && line[start] == ' ') {
            start++;
        }
        receiver.onData(line, start, end - start);
    }

    /**
     * Returns whether the data is the end mark of the completions API.
     *
     * @param buffer holds the data
     * @param offset offset of its first byte
     * @param count its length in bytes
     * @return true for {@code [DONE]}
     */
    static boolean isEndMark(byte[] buffer, int offset, int count) {
        return Arrays.equals(buffer, offset, offset + count, END_MARK, 0, END_MARK.length);
    }
}
