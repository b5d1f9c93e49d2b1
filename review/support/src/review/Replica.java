package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in replica: a plain service, or a model engine if it has models. It answers as the pages say; a behaviour may
 * replace its answer to a request. Safe for use by several threads.
 */
class Replica implements AutoCloseable {
    /** Data of each event: a number of bytes that is usual on the sheets. */
    private static final int EVENT_BYTES = 340;

    private static final int EVENT_INTERVAL_MS = 20;

    /** Work of a plain request; the sheets have means from 27 to 214 ms. */
    private static final int MINIMUM_WORK_MS = 60;

    private static final int MAXIMUM_WORK_MS = 140;

    private final Deployment deployment;
    private final Record record;
    private final String service;
    private final String id;
    private final InetAddress host;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket server;
    private volatile String software = "v1";
    private volatile long born = System.currentTimeMillis();
    private volatile double firstHeartbeatAt;
    private final AtomicInteger sequence = new AtomicInteger();
    private final AtomicInteger orders = new AtomicInteger();
    private final Map<String, Long> models = new ConcurrentHashMap<>();
    private final AtomicInteger fence = new AtomicInteger();
    private volatile Behaviour behaviour = (request, out) -> false;
    private volatile boolean running = true;

    /** Number of runs of each request in progress at this replica. */
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    /** What the replica does instead of its usual answer. */
    interface Behaviour {
        /** Returns whether it has answered, or ended the connection. */
        boolean answer(Http.Message request, OutputStream out) throws IOException;
    }

    Replica(Deployment deployment, Record record, int index, String service, List<String> models) throws IOException {
        this.deployment = deployment;
        this.record = record;
        this.service = service;
        this.id = "i-" + service + "-" + index;
        this.host = InetAddress.getByName(deployment.replicaHost(index));
        this.server = new ServerSocket(0, 200, host);
        models.forEach(model -> this.models.put(model, 1L));
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::announce);
    }

    String id() {
        return id;
    }

    void software(String next) {
        software = next;
    }

    /** Ends as a crash does: resets all connections; it accepts none and sends no heartbeats until it is restarted. */
    void crash() throws IOException {
        firstHeartbeatAt = Double.MAX_VALUE;
        server.close();
        for (Socket socket : connections) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        record.log("%s crashes", id);
    }

    /** Starts again under the same id and address with this software; its first heartbeat arrives late. */
    void restart(String nextSoftware, double heartbeatDelayS) throws IOException {
        software = nextSoftware;
        born = System.currentTimeMillis();
        sequence.set(0);
        firstHeartbeatAt = record.seconds() + heartbeatDelayS;
        server = new ServerSocket(server.getLocalPort(), 200, host);
        Thread.ofVirtual().start(this::accept);
        record.log("%s is started again with the software %s", id, software);
    }

    void behave(Behaviour next) {
        behaviour = next;
    }

    private void announce() {
        for (int target = 0; running; ) {
            if (record.seconds() < firstHeartbeatAt) {
                pause(10);
                continue;
            }
            String body = ("{\"Backend\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"zone-0\",\"Version\":\"%s\","
                            + "\"Capacity\":8,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Stage\":\"both\",\"Models\":%s,"
                            + "\"born\":%d,\"Sequence\":%d}")
                    .formatted(
                            service,
                            server.getInetAddress().getHostAddress(),
                            server.getLocalPort(),
                            software,
                            modelList(),
                            born,
                            sequence.incrementAndGet());
            Http.Message answer = Http.call(
                    deployment.control(target % deployment.stores()),
                    "POST",
                    "/api/replicas/" + id + "/heartbeat",
                    Map.of("Content-Type", "application/json"),
                    Http.bytes(body),
                    1_000);
            boolean acknowledged = answer.status() / 100 == 2;
            target += acknowledged ? 0 : 1;
            pause(acknowledged ? 1_200 : 100);
        }
    }

    private String modelList() {
        StringBuilder list = new StringBuilder("[");
        new TreeMap<>(models).forEach((name, version) -> list.append(list.length() > 1 ? "," : "")
                .append("{\"Name\":\"" + name + "\",\"Version\":" + version + ",\"Adapters\":[]}"));
        return list.append("]").toString();
    }

    private void accept() {
        ServerSocket accepting = server;
        while (running) {
            try {
                Socket socket = accepting.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message next = Http.read(in, false); next != null; next = Http.read(in, false)) {
                answer(next, out);
            }
        } catch (IOException ended) {
            // The caller has closed the connection, on which a replica drops the request.
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException {
        String path = request.start().split(" ")[1];
        String expected = request.header("Rosemarybeam-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            respond(out, 421, Map.of(), "");
        } else if (path.equals("/api/report")) {
            respond(out, 200, Map.of("Content-Type", "application/json"), "{\"Stage\":\"both\",\"Models\":"
                    + modelList() + ",\"Busy\":false,\"Sequence\":" + orders.get()
                    + ",\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":69694,\"Handles\":0}");
        } else if (path.equals("/api/order")) {
            order(request, out);
        } else {
            AtomicInteger count = runs.computeIfAbsent(
                    request.header("Rosemarybeam-Request-Id"), ignored -> new AtomicInteger());
            count.incrementAndGet();
            try {
                if (!behaviour.answer(request, out)) {
                    run(request, out);
                }
            } finally {
                count.decrementAndGet();
            }
        }
    }

    /** Returns whether a request with this id is in progress here. */
    boolean isRunning(String requestId) {
        AtomicInteger count = runs.get(requestId);
        return count != null && count.get() > 0;
    }

    private synchronized void order(Http.Message request, OutputStream out) throws IOException {
        String body = request.text();
        int number = (int) integer(body, "Fence");
        if (number < fence.get()) {
            respond(out, 412, Map.of(), "");
            return;
        }
        fence.set(number);
        String model = body.replaceAll(".*\"Model\":\"([^\"]*)\".*", "$1");
        models.put(model, integer(body, "Version"));
        orders.incrementAndGet();
        record.log("%s takes the order %s", id, body);
        respond(out, 202, Map.of(), "");
    }

    static long integer(String json, String field) {
        return Long.parseLong(json.replaceAll(".*\"" + field + "\":(\\d+).*", "$1"));
    }

    /** Answers as a sound replica. */
    void run(Http.Message request, OutputStream out) throws IOException {
        String requestId = request.header("Rosemarybeam-Request-Id");
        if (models.isEmpty()) {
            record.log("%s runs %s %s", id, requestId, request.start());
            pause(ThreadLocalRandom.current().nextInt(MINIMUM_WORK_MS, MAXIMUM_WORK_MS));
            respond(out, 200, answerHeaders(requestId, "text/plain"), "answer to " + requestId);
            return;
        }
        int after = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
        record.log("%s runs %s after event %d", id, requestId, after);
        beginStream(request, out);
        for (int event = after + 1; event <= events(requestId); event++) {
            pause(EVENT_INTERVAL_MS);
            chunk(out, "id: " + event + "\ndata: " + data(requestId, event) + "\n\n");
        }
        out.write(Http.bytes("0\r\n\r\n"));
        record.log("%s has completed %s", id, requestId);
    }

    /** Answers with a stream of events that name the software that wrote them. */
    boolean stream(Http.Message request, OutputStream out, int events, int intervalMs) throws IOException {
        String requestId = request.header("Rosemarybeam-Request-Id");
        int after = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
        String writer = software;
        record.log("%s with the software %s runs %s after event %d", id, writer, requestId, after);
        beginStream(request, out);
        for (int event = after + 1; event <= events; event++) {
            pause(intervalMs);
            chunk(out, "id: " + event + "\ndata: written by " + writer + "\n\n");
        }
        out.write(Http.bytes("0\r\n\r\n"));
        return true;
    }

    void beginStream(Http.Message request, OutputStream out) throws IOException {
        Map<String, String> headers =
                new LinkedHashMap<>(answerHeaders(request.header("Rosemarybeam-Request-Id"), "text/event-stream"));
        long version = models.getOrDefault(request.header("Rosemarybeam-Model"), 1L);
        headers.put("Rosemarybeam-Weight-Versions", String.valueOf(version));
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        out.write(Http.bytes(head.append("\r\n").toString()));
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = Http.bytes(text);
        out.write(Http.bytes(Integer.toHexString(bytes.length) + "\r\n"));
        out.write(bytes);
        out.write(Http.bytes("\r\n"));
        out.flush();
    }

    static Map<String, String> answerHeaders(String requestId, String type) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", type);
        headers.put("Rosemarybeam-Request-Id", requestId);
        headers.put("Rosemarybeam-Server-Stamp", "stamp-" + requestId);
        return headers;
    }

    static void respond(OutputStream out, int status, Map<String, String> headers, String body) throws IOException {
        out.write(Http.encode("HTTP/1.1 " + status + " status", headers, Http.bytes(body)));
        out.flush();
    }

    /** Number of events of an item. */
    static int events(String item) {
        return 15 + Math.floorMod(item.hashCode(), 10);
    }

    static String data(String item, int event) {
        String start = item + " event " + event + " ";
        return start + "x".repeat(EVENT_BYTES - start.length());
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        running = false;
        server.close();
    }
}
