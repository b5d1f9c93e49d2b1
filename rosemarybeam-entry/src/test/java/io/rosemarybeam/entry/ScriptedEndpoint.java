package io.rosemarybeam.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP endpoint whose responses a test scripts byte by byte. Each connection has its own thread. */
final class ScriptedEndpoint implements AutoCloseable {
    private final ServerSocket server;
    private final Script script;
    private final AtomicInteger connections = new AtomicInteger();
    private final List<Call> calls = new CopyOnWriteArrayList<>();

    /** Answers a request. */
    interface Script {
        /** Answers a request; the connection closes if this throws. */
        void answer(Call call) throws IOException, InterruptedException;
    }

    /**
     * Returns a script to share between endpoints: the first request that any of them receives runs one script, all
     * later ones the other.
     */
    static Script firstThenLater(Script first, Script later) {
        AtomicInteger requests = new AtomicInteger();
        return call -> (requests.getAndIncrement() == 0 ? first : later).answer(call);
    }

    /** One request, and the connection to answer it on. */
    record Call(
            String method,
            String uri,
            Map<String, String> headers,
            String body,
            int connection,
            OutputStream output,
            Socket socket) {
        String attempt() {
            return headers.get("x-attempt-id");
        }

        void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.UTF_8));
            output.flush();
        }

        void respond(int status, String body, String... headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\nContent-Length: "
                    + body.getBytes(StandardCharsets.UTF_8).length + "\r\n");
            for (int index = 0; index < headers.length; index += 2) {
                head.append(headers[index])
                        .append(": ")
                        .append(headers[index + 1])
                        .append("\r\n");
            }
            write(head + "\r\n" + body);
        }

        void startStream() throws IOException {
            write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + attempt()
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void event(String data) throws IOException {
            String text = "data: " + data + "\n\n";
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void tokens(String id, int from, int count, long version) throws IOException {
            event("{\"id\":\"" + id + "\",\"index\":" + from + ",\"token_count\":" + count + ",\"text\":\""
                    + text(from, count) + "\",\"weight_version\":" + version + "}");
        }

        void endStream() throws IOException {
            event("[DONE]");
            write("0\r\n\r\n");
        }
    }

    ScriptedEndpoint(Script script) {
        this.script = script;
        try {
            server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns the text that every scripted endpoint generates for a range of tokens. */
    static String text(int from, int count) {
        StringBuilder text = new StringBuilder();
        for (int token = from; token < from + count; token++) {
            text.append('t').append(token).append(' ');
        }
        return text.toString();
    }

    String url() {
        return "http://127.0.0.1:" + server.getLocalPort();
    }

    List<Call> calls() {
        return calls;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                int number = connections.incrementAndGet();
                Thread.ofVirtual().start(() -> serve(socket, number));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String line = readLine(input);
                if (line == null) {
                    return;
                }
                String[] request = line.split(" ");
                Map<String, String> headers = new TreeMap<>();
                for (String header = readLine(input); !header.isEmpty(); header = readLine(input)) {
                    int colon = header.indexOf(':');
                    headers.put(
                            header.substring(0, colon).toLowerCase(Locale.ROOT),
                            header.substring(colon + 1).trim());
                }
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                String body = new String(input.readNBytes(length), StandardCharsets.UTF_8);
                Call call = new Call(request[0], request[1], headers, body, number, socket.getOutputStream(), socket);
                calls.add(call);
                script.answer(call);
            }
        } catch (IOException | InterruptedException closed) {
            // The script or the other side closed the connection.
        }
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = input.read();
        }
        return next < 0 ? null : line.toString();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
