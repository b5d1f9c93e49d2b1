package io.rosemarybeam.edge;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An endpoint whose process ends when it runs a request with the body {@value #POISON}: it closes its port and all
 * connections. {@link #restart} starts it again at the same address as a new incarnation. Safe for use by several threads.
 */
final class CrashingEndpoint implements AutoCloseable {
    static final String POISON = "poison";

    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");
    private static final Pattern REQUEST_ID = Pattern.compile("(?i)rosemarybeam-request-id: (\\S+)");

    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger crashes;
    private final int port;
    private volatile ServerSocket listener;

    /**
     * Starts an endpoint on a free loopback port.
     *
     * @param crashes counts the crashes of all endpoints
     */
    CrashingEndpoint(AtomicInteger crashes) {
        this.crashes = crashes;
        this.port = listen(0);
    }

    private int listen(int wantedPort) {
        try {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), wantedPort));
            listener = socket;
            Thread.ofVirtual().start(() -> accept(socket));
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    boolean isRunning() {
        return !listener.isClosed();
    }

    void restart() {
        listen(port);
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = connection.getInputStream();
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                Matcher length = LENGTH.matcher(head);
                byte[] body = in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
                if (new String(body, StandardCharsets.UTF_8).equals(POISON)) {
                    crash();
                    return;
                }
                Matcher id = REQUEST_ID.matcher(head);
                String answer = "HTTP/1.1 200 OK\r\nRosemarybeam-Request-Id: " + (id.find() ? id.group(1) : "")
                        + "\r\nRosemarybeam-Server-Stamp: d\r\nContent-Length: 2\r\n\r\nok";
                connection.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException broken) {
            connections.remove(connection);
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

    /** Waits for the end of the listener, which the system defers until the thread that accepts has woken up. */
    private void awaitRefused() {
        try {
            while (true) {
                new Socket(InetAddress.getLoopbackAddress(), port).close();
            }
        } catch (IOException refused) {
            // The port is closed now, as after the end of a process.
            Thread.onSpinWait();
        }
    }

    private void crash() {
        crashes.incrementAndGet();
        close();
    }

    @Override
    public void close() {
        try {
            listener.close();
            awaitRefused();
            for (Socket connection : connections) {
                connection.close();
            }
            connections.clear();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
