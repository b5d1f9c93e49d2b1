import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in replica: takes requests, orders and reports, sends heartbeats, and records what it runs. */
final class Replica implements AutoCloseable {
    final Bed bed;
    final String id;
    final String service;
    final String address;
    final String zone;
    final long born = System.currentTimeMillis();
    final AtomicLong sequence = new AtomicLong();
    final AtomicInteger runs = new AtomicInteger();
    volatile long version = 1;
    volatile boolean leaving;
    volatile boolean silent;
    volatile boolean logsRuns = true;
    volatile String softwareVersion = "v1";
    volatile String state = "ready";
    volatile Handler handler = Replica::answerPlain;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    private volatile int orders;

    /** Runs a request that the replica has accepted. */
    interface Handler {
        void run(Replica replica, Request request, OutputStream out) throws IOException, InterruptedException;
    }

    record Request(String method, String path, Map<String, String> headers, byte[] body, Socket socket) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String id() {
            return header("Rosemarybeam-Request-Id");
        }
    }

    Replica(Bed bed, int index, String service) throws IOException {
        this.bed = bed;
        this.id = "i-" + service + "-" + index;
        this.service = service;
        this.zone = "zone-" + index % 3;
        this.listener = new ServerSocket(0, 512, InetAddress.getByName(bed.replicaHost(index)));
        this.address = bed.replicaHost(index) + ":" + listener.getLocalPort();
        Thread.ofVirtual().start(this::accept);
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String line = Http.readLine(in);
                String[] words = line.split(" ");
                Map<String, String> headers = new TreeMap<>();
                for (line = Http.readLine(in); !line.isEmpty(); line = Http.readLine(in)) {
                    int colon = line.indexOf(':');
                    headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
                }
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                Http.copy(in, body, Long.parseLong(headers.getOrDefault("content-length", "0")));
                dispatch(new Request(words[0], words[1], headers, body.toByteArray(), socket), out);
            }
        } catch (IOException | RuntimeException | InterruptedException ended) {
            // The connection ended.
        } finally {
            sockets.remove(socket);
        }
    }

    private void dispatch(Request request, OutputStream out) throws IOException, InterruptedException {
        String expected = request.header("Rosemarybeam-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            answer(out, 421, request.id(), "Rosemarybeam-Not-Executed: 1\r\n", new byte[0], false);
        } else if (request.path().equals("/api/report")) {
            json(out, "{\"Stage\":\"both\",\"Models\":" + models() + ",\"Busy\":false,\"Sequence\":" + orders
                    + ",\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0}");
        } else if (request.path().equals("/api/order")) {
            String text = new String(request.body(), StandardCharsets.UTF_8);
            int at = text.indexOf("\"Version\":", text.indexOf("\"Model\"")) + "\"Version\":".length();
            version = Long.parseLong(text.substring(at).split("[,}]")[0].trim());
            orders++;
            answer(out, 202, request.id(), "", new byte[0], false);
        } else if (request.path().equals("/healthz")) {
            answer(out, 200, request.id(), "Rosemarybeam-Instance-Id: " + id + "\r\n", new byte[0], false);
        } else {
            runs.incrementAndGet();
            if (logsRuns) {
                bed.log(id + " runs " + request.method() + " " + request.path() + " request " + request.id());
            }
            handler.run(this, request, out);
        }
    }

    private String models() {
        return "[{\"Name\":\"model\",\"Version\":" + version + ",\"Adapters\":[]}]";
    }

    private static void json(OutputStream out, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    /** Writes a whole answer with its digest. */
    void answer(OutputStream out, int status, String request, String extra, byte[] body, boolean stamped)
            throws IOException {
        String head = "HTTP/1.1 " + status + " Status\r\nRosemarybeam-Request-Id: " + request + "\r\n"
                + (stamped ? "Rosemarybeam-Server-Stamp: " + stamp(request) + "\r\n" : "")
                + (leaving ? "Server-Leaving: 1\r\n" : "") + extra
                + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        out.write(all);
        out.flush();
    }

    String stamp(String request) {
        return id + "." + request;
    }

    static void answerPlain(Replica replica, Request request, OutputStream out)
            throws IOException, InterruptedException {
        Thread.sleep(20);
        replica.answer(out, 200, request.id(), "", ("ran " + request.id()).getBytes(StandardCharsets.UTF_8), true);
    }

    /** A handler that generates a stream of events, each with a text of some length, from the one after Last-Event-Id on. */
    static Handler generate(int events, int pause, int length) {
        return (replica, request, out) -> {
            String last = request.header("Last-Event-Id");
            int after = last.isEmpty() ? 0 : Integer.parseInt(last);
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                            + "Rosemarybeam-Request-Id: " + request.id() + "\r\nRosemarybeam-Server-Stamp: "
                            + replica.stamp(request.id()) + "\r\nRosemarybeam-Weight-Versions: " + replica.version
                            + "\r\n" + (replica.leaving ? "Server-Leaving: 1\r\n" : "") + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            for (int event = after + 1; event <= events; event++) {
                Thread.sleep(pause);
                chunk(out, "id: " + event + "\ndata: " + data(request.id(), event, length) + "\n\n");
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        };
    }

    static String data(String request, int event, int length) {
        String text = request + "/" + event;
        return text + "x".repeat(Math.max(0, length - text.length()));
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    String heartbeat(long number, String stateText) {
        return "{\"Backend\":\"" + service + "\",\"Address\":\"" + address + "\",\"Zone\":\"" + zone
                + "\",\"Version\":\"" + softwareVersion + "\",\"Capacity\":8,\"State\":\"" + stateText
                + "\",\"WarmupLeftMs\":0,\"Stage\":\"both\",\"Models\":" + models() + ",\"Sequence\":" + number
                + ",\"born\":" + born + "}";
    }

    /** Sends one heartbeat to the first store that acknowledges it. */
    boolean beat(int... order) {
        return bed.control("/api/replicas/" + id + "/heartbeat", heartbeat(sequence.incrementAndGet(), state), order);
    }

    /** Sends heartbeats until the replica is silent or closed. */
    void beatRegularly() {
        Thread.ofVirtual().start(() -> {
            while (!closed) {
                if (!silent) {
                    beat();
                }
                try {
                    Thread.sleep(1_200);
                } catch (InterruptedException ended) {
                    return;
                }
            }
        });
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
