package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Two software versions of a service serve side by side. The stores are stopped and started in turn, as planned work. Later,
 * consumers lose the connections of their streams and resume them at other edges.
 */
final class StreamOrigin {
    private static final int STREAMS = 18;
    private static final int EVENTS = 400;
    private static final int INTERVAL_MS = 100;

    /** Between the start of a store and the stop of the next one. */
    private static final int GAP_MS = 2_500;

    /** Until the connections break; more than twice ContactMs after the stores are back. */
    private static final int PAUSE_MS = 8_000;

    /** First try and the consumer's retries. */
    private static final int TRIES = 3;

    private StreamOrigin() {}

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, 3, 6, List.of(), StreamOrigin::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        for (int index = 0; index < 6; index++) {
            Replica replica = new Replica(deployment, record, 10 + index, Trainer.DESK, List.of());
            replica.software(index % 2 == 0 ? "v1" : "v2");
            replica.behave((request, out) -> replica.stream(request, out, EVENTS, INTERVAL_MS));
        }
        Trainer trainer = new Trainer(deployment, record);
        if (!trainer.configure(1, true, 20_000)) {
            return Case.NOT_RUN;
        }
        Replica.pause(4_000);
        List<Consumer> consumers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            Consumer consumer = new Consumer("stream-" + number, number % deployment.edges(), deployment, record);
            consumers.add(consumer);
            threads.add(Thread.ofVirtual().start(consumer::begin));
            Replica.pause(30);
        }
        Replica.pause(1_500);
        if (trouble) {
            restartStoresInTurn(deployment, record);
        }
        Replica.pause(PAUSE_MS);
        record.log("the connections of all streams are reset");
        for (Consumer consumer : consumers) {
            consumer.breakConnection();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        threads.clear();
        consumers.forEach(consumer -> threads.add(Thread.ofVirtual().start(consumer::resume)));
        List<Consumer> newConsumers = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            Consumer consumer = new Consumer("new-" + number, number % deployment.edges(), deployment, record);
            newConsumers.add(consumer);
            threads.add(Thread.ofVirtual().start(consumer::begin));
        }
        Replica.pause(4_000);
        long resumed = consumers.stream().filter(consumer -> consumer.hasGoneOn).count();
        long begun = newConsumers.stream().filter(consumer -> consumer.lastEvent > 0).count();
        long first = consumers.stream().filter(consumer -> consumer.lastEvent > 0).count();
        long mixed = consumers.stream().filter(consumer -> consumer.writers.size() > 1).count();
        record.log("of %d streams that were taken up again %d went on; of %d new streams %d began; mixed %d", first,
                resumed, STREAMS, begun, mixed);
        if (first < 12 || begun < STREAMS / 2) {
            return Case.NOT_RUN;
        }
        return resumed * 2 * STREAMS < begun * first ? Case.BROKEN : Case.HELD;
    }

    private static void restartStoresInTurn(Deployment deployment, Record record) throws Exception {
        for (int index = 0; index < deployment.stores(); index++) {
            String store = "store-" + index;
            record.log("%s gets SIGTERM", store);
            deployment.process(store).destroy();
            deployment.process(store).waitFor();
            record.log("%s has ended with %d and is started again", store, deployment.process(store).exitValue());
            deployment.restartEnded();
            Replica.pause(GAP_MS);
        }
    }

    /** A consumer of one stream. Used by one thread at a time, apart from {@link #breakConnection}. */
    private static final class Consumer {
        private final String id;
        private final int firstEdge;
        private final Deployment deployment;
        private final Record record;
        private final TreeSet<String> writers = new TreeSet<>();
        private volatile Socket socket = new Socket();
        private volatile int lastEvent;
        private volatile boolean hasGoneOn;

        Consumer(String id, int firstEdge, Deployment deployment, Record record) {
            this.id = id;
            this.firstEdge = firstEdge;
            this.deployment = deployment;
            this.record = record;
        }

        void begin() {
            read(id + "-1", deployment.front(firstEdge), Map.of());
        }

        /** Resets the connection, unless the stream could not begin. */
        void breakConnection() throws IOException {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }

        /** Resumes at edges other than the one that failed. */
        void resume() {
            int before = lastEvent;
            for (int attempt = 1; attempt <= TRIES && lastEvent == before; attempt++) {
                read(
                        id + "-" + (attempt + 1),
                        deployment.front((firstEdge + attempt) % deployment.edges()),
                        Map.of("Last-Event-Id", String.valueOf(before), "Resumes", id + "-1"));
                Replica.pause(300);
            }
        }

        private void read(String attempt, String edge, Map<String, String> more) {
            Map<String, String> headers = Trainer.headers(attempt);
            headers.put("Rosemarybeam-Deadline-Ms", "30000");
            headers.putAll(more);
            record.log("%s is sent to %s after event %d", attempt, edge, lastEvent);
            int colon = edge.lastIndexOf(':');
            try (Socket opened = new Socket(edge.substring(0, colon), Integer.parseInt(edge.substring(colon + 1)))) {
                socket = opened;
                opened.setSoTimeout(5_000);
                opened.getOutputStream().write(Http.encode("POST /jodo117/2f HTTP/1.1", headers, Http.bytes(id)));
                BufferedReader lines =
                        new BufferedReader(new InputStreamReader(opened.getInputStream(), StandardCharsets.ISO_8859_1));
                record.log("%s is answered %s", attempt, lines.readLine());
                int event = 0;
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    if (line.startsWith("id: ")) {
                        event = Integer.parseInt(line.substring(4));
                    } else if (line.startsWith("data: written by ")) {
                        writers.add(line.substring(17));
                        lastEvent = event;
                        hasGoneOn = !more.isEmpty();
                    }
                }
            } catch (IOException broken) {
                record.log("%s ends after event %d", attempt, lastEvent);
            }
        }
    }
}
