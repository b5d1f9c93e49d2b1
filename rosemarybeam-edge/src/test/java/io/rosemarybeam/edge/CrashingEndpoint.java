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
 * An endpoint whose process ends when it runs a request with the body {@value #POISON}, in one of the ways of {@link End}.
 * {@link #restart} starts it again at the same address as a new incarnation. Safe for use by several threads.
 */
final class CrashingEndpoint implements AutoCloseable {
    static final String POISON = "poison";

    /** The body of a request that is in progress for a while, so that others crash the endpoint meanwhile. */
    static final String SLOW = "slow";

    private static final long SLOW_MILLISECONDS = 80;

    /** What others see of the end of the process. */
    enum End {
        /** Its port and all connections close. */
        CLOSED,
        /** Neither its open connections nor new ones are answered any more. */
        SILENT,
        /** Its connections close, and another process accepts connections at its port at once. */
        REPLACED
    }

    /** Connections that fill the queue of a listener with a backlog of one, so that it does not answer further ones. */
    private static final int CONNECTIONS_THAT_FILL_THE_QUEUE = 2;

    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");
    private static final Pattern REQUEST_ID = Pattern.compile("(?i)rosemarybeam-request-id: (\\S+)");

    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Set<Socket> queued = ConcurrentHashMap.newKeySet();
    private final AtomicInteger crashes;
    private final End end;
    private final int port;
    private volatile ServerSocket listener;
    private volatile boolean ended;

    /**
     * Starts an endpoint on a free loopback port.
     *
     * @param crashes counts the crashes of all endpoints
     * @param end how its process ends
     */
    CrashingEndpoint(AtomicInteger crashes, End end) {
        this.crashes = crashes;
        this.end = end;
        this.port = listen(0);
    }

    private int listen(int wantedPort) {
        try {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            int backlog = end == End.SILENT ? 1 : 0;
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), wantedPort), backlog);
            listener = socket;
            ended = false;
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
        return !ended;
    }

    void restart() {
        close();
        listen(port);
    }

    private void accept(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                if (ended && end == End.SILENT) {
                    queued.add(connection);
                    return;
                }
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
                    awaitClosed(connection);
                    return;
                }
                if (new String(body, StandardCharsets.UTF_8).equals(SLOW)) {
                    Thread.sleep(SLOW_MILLISECONDS);
                }
                Matcher id = REQUEST_ID.matcher(head);
                String answer = "HTTP/1.1 200 OK\r\nRosemarybeam-Request-Id: " + (id.find() ? id.group(1) : "")
                        + "\r\nRosemarybeam-Server-Stamp: d\r\nContent-Length: 2\r\n\r\nok";
                connection.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException broken) {
            connections.remove(connection);
        } catch (InterruptedException interrupted) {
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

    /** Keeps a connection of a silent endpoint open until the endpoint is restarted or closed. */
    private static void awaitClosed(Socket connection) throws IOException {
        while (!connection.isClosed() && connection.getInputStream().read() >= 0) {
            Thread.onSpinWait();
        }
    }

    private synchronized void crash() throws IOException {
        crashes.incrementAndGet();
        ended = true;
        switch (end) {
            case CLOSED -> close();
            case SILENT -> fillQueue();
            case REPLACED -> closeConnections();
            default -> throw new IllegalStateException("unexpected end " + end);
        }
    }

    /** One connection wakes the thread that accepts, which then stops, and the others fill the queue. */
    private void fillQueue() throws IOException {
        for (int connection = 0; connection <= CONNECTIONS_THAT_FILL_THE_QUEUE; connection++) {
            queued.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
    }

    private void closeConnections() throws IOException {
        for (Socket connection : connections) {
            connection.close();
        }
        connections.clear();
    }

    @Override
    public void close() {
        ended = true;
        try {
            listener.close();
            for (Socket connection : queued) {
                connection.close();
            }
            queued.clear();
            awaitRefused();
            closeConnections();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
