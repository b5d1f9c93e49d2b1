package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A minimal HTTP/1.1 codec for the stand-ins. Stateless. */
final class Http {
    private Http() {}

    /** A request or an answer; {@code start} is its first line. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static final Message NO_ANSWER = new Message("HTTP/1.1 0 none", Map.of(), new byte[0]);

    /** Reads a message; returns null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean untilClose) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            headers.put(next.substring(0, colon).trim().toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
        } else if (headers.containsKey("content-length")) {
            body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
        } else if (untilClose) {
            in.transferTo(body);
        }
        return new Message(start, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        String text = line(in);
        if (text == null) {
            throw new EOFException("the body is not complete");
        }
        return Integer.parseInt(text.trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body is not complete");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                text.write(next);
            }
        }
        return text.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Encodes a message with a length. */
    static byte[] encode(String start, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(bytes(head.toString()));
        all.writeBytes(body);
        return all.toByteArray();
    }

    /** Calls a server on a new connection; returns {@link #NO_ANSWER} if no complete answer arrives in time. */
    static Message call(
            String address, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    Math.min(1_000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(encode(method + " " + path + " HTTP/1.1", headers, body));
            Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
            return answer == null ? NO_ANSWER : answer;
        } catch (IOException failure) {
            return NO_ANSWER;
        }
    }
}
