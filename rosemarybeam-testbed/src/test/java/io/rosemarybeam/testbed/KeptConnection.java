package io.rosemarybeam.testbed;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A connection of a caller that carries one request after the other, or several at once. Unlike an HTTP client library it
 * never repeats a request and tells how a connection ended. Confined to one thread.
 */
final class KeptConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final int READ_TIMEOUT_MILLISECONDS = 8_000;

    private final Socket socket = new Socket();
    private final InputStream in;

    KeptConnection(InetSocketAddress address) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        socket.connect(address, CONNECT_TIMEOUT_MILLISECONDS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** A complete answer. */
    record Answer(int status, boolean closes, String body) {}

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Reads one answer.
     *
     * @throws IOException if the connection ends before the answer does
     */
    Answer read() throws IOException {
        String statusLine = readLine();
        int length = 0;
        boolean chunked = false;
        boolean closes = false;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            String header = line.toLowerCase(Locale.ROOT);
            if (header.startsWith("content-length:")) {
                length = Integer.parseInt(
                        header.substring("content-length:".length()).trim());
            }
            chunked |= header.startsWith("transfer-encoding:") && header.contains("chunked");
            closes |= header.startsWith("connection:") && header.contains("close");
        }
        String body = chunked ? readChunks() : readBytes(length);
        return new Answer(Integer.parseInt(statusLine.split(" ")[1]), closes, body);
    }

    private String readChunks() throws IOException {
        StringBuilder body = new StringBuilder();
        for (int size = Integer.parseInt(readLine(), 16); size > 0; size = Integer.parseInt(readLine(), 16)) {
            body.append(readBytes(size));
            readLine();
        }
        readLine();
        return body.toString();
    }

    private String readBytes(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("connection ended " + (count - bytes.length) + " bytes before the end of a body");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.isEmpty() || line.charAt(line.length() - 1) != '\n') {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("connection ended after \"" + line + "\"");
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
