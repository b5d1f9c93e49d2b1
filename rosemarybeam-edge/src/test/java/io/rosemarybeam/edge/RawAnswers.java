package io.rosemarybeam.edge;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Endpoints at several addresses that answer the attempts of a request with scripted bytes, whichever endpoint gets them, and
 * then close the connection. Requests without a script are answered in full. Safe for use by several threads.
 */
final class RawAnswers implements AutoCloseable {
    /** Prefix of an answer after which the connection is reset. */
    static final String RESET = "reset ";

    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");
    private static final Pattern REQUEST_ID = Pattern.compile("(?i)rosemarybeam-request-id: (\\S+)");
    private static final String DEFAULT_ANSWER =
            "HTTP/1.1 200 OK\r\nRosemarybeam-Server-Stamp: d\r\nContent-Length: 2\r\n\r\nok";

    /** Time after which the receiver has read what was sent; a reset discards the rest, in milliseconds. */
    private static final long READ_MILLISECONDS = 20;

    private final List<ServerSocket> listeners;
    private final Map<String, Deque<String>> scripts = new ConcurrentHashMap<>();

    RawAnswers(int endpoints) {
        listeners = java.util.stream.Stream.generate(RawAnswers::listen)
                .limit(endpoints)
                .toList();
        listeners.forEach(listener -> Thread.ofVirtual().start(() -> accept(listener)));
    }

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    String address(int endpoint) {
        return "127.0.0.1:" + listeners.get(endpoint).getLocalPort();
    }

    /** Sets the answers to the attempts of a request; the last one is repeated. */
    void script(String id, List<String> answers) {
        scripts.put(id, new ArrayDeque<>(answers));
    }

    private String next(String id) {
        Deque<String> script = scripts.get(id);
        if (script == null) {
            return DEFAULT_ANSWER;
        }
        synchronized (script) {
            return script.size() > 1 ? script.poll() : script.peek();
        }
    }

    private void accept(ServerSocket listener) {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            String head = readHead(connection.getInputStream());
            Matcher length = LENGTH.matcher(head);
            Matcher id = REQUEST_ID.matcher(head);
            if (!id.find()) {
                return;
            }
            connection.getInputStream().readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
            String answer = next(id.group(1));
            boolean resets = answer.startsWith(RESET);
            byte[] bytes = (resets ? answer.substring(RESET.length()) : answer)
                    .replace("{id}", id.group(1))
                    .getBytes(StandardCharsets.UTF_8);
            connection.getOutputStream().write(bytes);
            if (resets) {
                Thread.sleep(READ_MILLISECONDS);
                connection.setSoLinger(true, 0);
            }
        } catch (IOException | InterruptedException broken) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        for (ServerSocket listener : listeners) {
            try {
                listener.close();
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        }
    }
}
