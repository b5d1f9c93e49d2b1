import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 client over plain sockets. */
final class Http {
    private Http() {}

    /** An answer; status 0 stands for none, and complete is false if its connection ended before it did. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete, String failure) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        @Override
        public String toString() {
            return status + (complete ? "" : " incomplete") + (failure.isEmpty() ? "" : " (" + failure + ")");
        }
    }

    static Answer call(String address, String method, String path, Map<String, String> headers, byte[] body, int timeout) {
        try (Connection connection = new Connection(address, timeout)) {
            return connection.call(method, path, headers, body);
        } catch (IOException failure) {
            return new Answer(0, Map.of(), new byte[0], false, String.valueOf(failure));
        }
    }

    /** One connection; requests follow one another. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;
        private final String address;

        Connection(String address, int timeout) throws IOException {
            this.address = address;
            int colon = address.lastIndexOf(':');
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    Math.min(timeout, 1_000));
            socket.setSoTimeout(timeout);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        Answer call(String method, String path, Map<String, String> headers, byte[] body) {
            try {
                send(method, path, headers, body);
            } catch (IOException failure) {
                return new Answer(0, Map.of(), new byte[0], false, "not sent: " + failure);
            }
            return read(method);
        }

        void send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(address).append("\r\n");
            }
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[bytes.length + body.length];
            System.arraycopy(bytes, 0, all, 0, bytes.length);
            System.arraycopy(body, 0, all, bytes.length, body.length);
            out.write(all);
            out.flush();
        }

        Answer read(String method) {
            Map<String, String> headers = new TreeMap<>();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int status = 0;
            try {
                String line = readLine(in);
                status = Integer.parseInt(line.split(" ")[1]);
                for (line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                    int colon = line.indexOf(':');
                    headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
                }
                readBody(headers, body);
                return new Answer(status, headers, body.toByteArray(), true, "");
            } catch (IOException | RuntimeException failure) {
                return new Answer(status, headers, body.toByteArray(), false, String.valueOf(failure));
            }
        }

        private void readBody(Map<String, String> headers, ByteArrayOutputStream body) throws IOException {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                while (true) {
                    int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                    copy(in, body, size);
                    readLine(in);
                    if (size == 0) {
                        return;
                    }
                }
            }
            copy(in, body, Long.parseLong(headers.getOrDefault("content-length", "0")));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static void copy(InputStream in, OutputStream out, long count) throws IOException {
        byte[] buffer = new byte[65_536];
        long left = count;
        while (left > 0) {
            int read = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (read < 0) {
                throw new EOFException("the connection ended");
            }
            out.write(buffer, 0, read);
            left -= read;
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
