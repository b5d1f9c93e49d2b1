import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in of a replica that follows the platform's pages: announces itself, answers plain requests, generates the events of
 * items, reports its state and loads weight versions. Safe for use by several threads.
 */
final class Replica {
    /** Something that reached this replica and was run. Immutable. */
    record Arrival(long at, String id, String path, String lastEvent) {}

    private final Lab lab;
    final String id;
    private final String service;
    final String address;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final int capacity;
    private final String model;
    private final int stores;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    final List<Arrival> arrivals = new ArrayList<>();
    volatile long version = 1;
    private final String softwareVersion;
    private volatile long ordersAccepted;
    private volatile boolean busy;
    volatile int events = 10;
    volatile int eventMilliseconds = 40;
    volatile int workMilliseconds = 30;
    volatile String state = "ready";
    volatile boolean announces = true;
    private volatile boolean ended;
    private long sequence;
    private int nextStore;

    Replica(Lab lab, int index, String id, String service, String model, int capacity, int stores) throws IOException {
        this(lab, index, 0, id, "v1", service, model, capacity, stores, 0);
    }

    /**
     * Starts a replica.
     *
     * @param lab the lab
     * @param index selects its address
     * @param port its port; 0 for any
     * @param id its id
     * @param softwareVersion version of its program
     * @param service its service
     * @param model the model that it generates with; empty for a plain service
     * @param capacity how many requests it runs at once, as it says
     * @param stores number of store hosts
     * @param firstHeartbeat delay of the first heartbeat, in milliseconds
     */
    Replica(
            Lab lab,
            int index,
            int port,
            String id,
            String softwareVersion,
            String service,
            String model,
            int capacity,
            int stores,
            long firstHeartbeat)
            throws IOException {
        this.softwareVersion = softwareVersion;
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.model = model;
        this.capacity = capacity;
        this.stores = stores;
        this.nextStore = index;
        server = new ServerSocket(port, 256, Lab.address(lab.standInHost(index)));
        address = lab.standInHost(index) + ":" + server.getLocalPort();
        Thread.ofPlatform().daemon().name(id).start(this::accept);
        Thread.ofPlatform().daemon().name(id + "-heartbeats").start(() -> {
            pause(firstHeartbeat);
            announce();
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void announce() {
        while (!ended) {
            if (announces) {
                heartbeat();
            }
            pause((long) (1_000 * Lab.HEARTBEAT_SECONDS));
        }
    }

    /** Returns the body of the next heartbeat. */
    synchronized String nextHeartbeat() {
        sequence++;
        String models = model.isEmpty()
                ? ""
                : "\"Stage\":\"both\",\"Models\":[{\"Name\":\"" + model + "\",\"Version\":" + version + ",\"Adapters\":[]}],";
        return "{\"Backend\":\"" + service + "\",\"Address\":\"" + address + "\",\"Zone\":\"zone-1\",\"Version\":\"" + softwareVersion + "\",\"Capacity\":"
                + capacity + ",\"State\":\"" + state + "\",\"WarmupLeftMs\":0," + models + "\"Sequence\":" + sequence
                + ",\"born\":" + born + "}";
    }

    /** Sends a heartbeat to one store host after the other until one acknowledges it; returns whether one did. */
    boolean heartbeat() {
        return announceAs("heartbeat", nextHeartbeat());
    }

    /** Deregisters; returns whether a store host acknowledged it. */
    boolean deregister() {
        announces = false;
        return announceAs("deregister", "{\"born\":" + born + "}");
    }

    boolean announceAs(String call, String body) {
        for (int attempt = 0; attempt < stores; attempt++) {
            nextStore = nextStore % stores + 1;
            Lab.Reply reply = Lab.call(
                    lab.control(nextStore),
                    "POST",
                    "/api/replicas/" + id + "/" + call,
                    Map.of("Content-Type", "application/json"),
                    body.getBytes(StandardCharsets.UTF_8),
                    1_000);
            if (reply.status >= 200 && reply.status < 300) {
                if (!call.equals("heartbeat")) {
                    lab.note("%s: %s acknowledged by store-%d", id, call, nextStore);
                }
                return true;
            }
        }
        return false;
    }

    /** Ends the replica as a crash does: all connections are reset and its port refuses new ones. */
    void crash() {
        ended = true;
        close();
    }

    /** Exits after it has left. */
    void exit() {
        ended = true;
        close();
    }

    private void close() {
        try {
            server.close();
            for (Socket socket : connections) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException closed) {
            // It is closed.
        }
    }

    private void accept() {
        while (!ended) {
            try {
                Socket socket = server.accept();
                connections.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String[] line = Lab.readLine(in).split(" ");
                Map<String, String> headers = Lab.readHeaders(in);
                byte[] body = Lab.readFully(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
                answer(line[0], line[1], headers, body, socket.getOutputStream());
            }
        } catch (IOException | RuntimeException ended) {
            // The connection has ended.
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(String method, String path, Map<String, String> headers, byte[] body, OutputStream out)
            throws IOException {
        String expected = headers.getOrDefault("rosemarybeam-expect-instance", id);
        if (!expected.equals(id)) {
            write(out, 421, "", new byte[0]);
        } else if (path.equals("/api/report")) {
            write(out, 200, "", ("{\"Stage\":\"both\",\"Models\":[{\"Name\":\"" + model + "\",\"Version\":" + version
                            + ",\"Adapters\":[]}],\"Busy\":" + busy + ",\"Sequence\":" + ordersAccepted
                            + ",\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0}")
                    .getBytes(StandardCharsets.UTF_8));
        } else if (path.equals("/api/order")) {
            order(new String(body, StandardCharsets.UTF_8), headers, out);
        } else if (method.equals("GET") && path.equals("/healthz")) {
            write(out, 200, "Rosemarybeam-Instance-Id: " + id + "\r\n", new byte[0]);
        } else {
            run(path, headers, body, out);
        }
    }

    private void order(String text, Map<String, String> headers, OutputStream out) throws IOException {
        long wanted = Long.parseLong(text.replaceAll(".*\"Version\":(\\d+).*", "$1"));
        long expectedOrders = Long.parseLong(text.replaceAll(".*\"Expected\":(-?\\d+).*", "$1"));
        int status;
        synchronized (this) {
            if (busy || expectedOrders != ordersAccepted) {
                status = 409;
            } else if (wanted <= version) {
                status = 200;
            } else {
                status = 202;
                busy = true;
                ordersAccepted++;
                Thread.ofVirtual().start(() -> {
                    pause(900);
                    version = wanted;
                    busy = false;
                });
            }
        }
        write(out, status, echo(headers), new byte[0]);
    }

    private static String echo(Map<String, String> headers) {
        String request = headers.get("rosemarybeam-request-id");
        return request == null ? "" : "Rosemarybeam-Request-Id: " + request + "\r\n";
    }

    private void run(String path, Map<String, String> headers, byte[] body, OutputStream out) throws IOException {
        String request = headers.getOrDefault("rosemarybeam-request-id", "");
        int after = Integer.parseInt(headers.getOrDefault("last-event-id", "0"));
        synchronized (arrivals) {
            arrivals.add(new Arrival(lab.now(), request, path, headers.getOrDefault("last-event-id", "")));
        }
        if (headers.containsKey("rosemarybeam-model") || path.startsWith("/s/")) {
            generate(request, after, headers, out);
        } else {
            pause(workMilliseconds);
            write(out, 200, echo(headers) + "Rosemarybeam-Server-Stamp: " + stamp(request) + "\r\n", ("answer to " + request).getBytes(StandardCharsets.UTF_8));
        }
    }

    String stamp(String request) {
        return id + "." + request;
    }

    private void generate(String request, int after, Map<String, String> headers, OutputStream out) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\n" + echo(headers) + "Rosemarybeam-Server-Stamp: " + stamp(request)
                        + "\r\nContent-Type: text/event-stream\r\nRosemarybeam-Weight-Versions: " + version
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int event = after + 1; event <= events; event++) {
            pause(eventMilliseconds);
            byte[] text = ("id: " + event + "\ndata: " + softwareVersion + " " + event + "\n\n").getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(text);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void write(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = java.util.Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, message, start.length, body.length);
        out.write(message);
        out.flush();
    }

    /** Returns the arrivals since a time. */
    List<Arrival> arrivalsSince(long at) {
        synchronized (arrivals) {
            return arrivals.stream().filter(arrival -> arrival.at() >= at).toList();
        }
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
