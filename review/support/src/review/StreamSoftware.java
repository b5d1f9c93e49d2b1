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
 * In the middle of a release, the last replica with the old software crashes and starts again under its id with the new
 * software; its first heartbeat arrives late. Consumers resume their streams. No stream may have events of both.
 */
final class StreamSoftware {
    /** Replicas of the plain service on the sheet; one that crashes is less than the share of srv_crash there. */
    private static final int REPLICAS = 8;

    private static final int STREAMS = 48;
    private static final int EVENTS = 40;
    private static final int INTERVAL_MS = 100;

    /** A heartbeat may arrive seconds late. */
    private static final double HEARTBEAT_DELAY_S = 2.0;

    private StreamSoftware() {}

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, 3, 3, List.of(), StreamSoftware::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<Replica> replicas = new ArrayList<>();
        for (int index = 0; index < REPLICAS; index++) {
            Replica replica = new Replica(deployment, record, 10 + index, Trainer.DESK, List.of());
            replica.software(index == 0 ? "v1" : "v2");
            replica.behave((request, out) -> replica.stream(request, out, EVENTS, INTERVAL_MS));
            replicas.add(replica);
        }
        Trainer trainer = new Trainer(deployment, record);
        if (!trainer.configure(1, true, 20_000)) {
            return Case.NOT_RUN;
        }
        Replica.pause(4_000);
        List<Thread> threads = new ArrayList<>();
        List<Stream> streams = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            Stream stream = new Stream("stream-" + number, trainer, record);
            streams.add(stream);
            threads.add(Thread.ofVirtual().start(stream::read));
            Replica.pause(10);
        }
        Replica.pause(1_000);
        if (trouble) {
            replicas.getFirst().crash();
            Replica.pause(200);
            replicas.getFirst().restart("v2", HEARTBEAT_DELAY_S);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int mixed = 0;
        int complete = 0;
        for (Stream stream : streams) {
            record.log("%s has events 1 to %d, written by %s, in %d tries", stream.id, stream.lastEvent,
                    stream.writers, stream.tries);
            mixed += stream.writers.size() > 1 ? 1 : 0;
            complete += stream.lastEvent == EVENTS ? 1 : 0;
        }
        record.log("streams with events of two software versions %d, complete streams %d", mixed, complete);
        if (mixed > 2) {
            return Case.BROKEN;
        }
        return complete > 0 ? Case.HELD : Case.NOT_RUN;
    }

    /** A consumer that resumes its stream after a broken connection. Confined to one thread. */
    private static final class Stream {
        private final String id;
        private final Trainer trainer;
        private final Record record;
        private final TreeSet<String> writers = new TreeSet<>();
        private int lastEvent;
        private int tries;

        Stream(String id, Trainer trainer, Record record) {
            this.id = id;
            this.trainer = trainer;
            this.record = record;
        }

        void read() {
            while (lastEvent < EVENTS && tries < 6) {
                tries++;
                String attempt = id + "-" + tries;
                String edge = trainer.nextEdge();
                Map<String, String> headers = Trainer.headers(attempt);
                headers.put("Rosemarybeam-Deadline-Ms", "10000");
                if (lastEvent > 0) {
                    headers.put("Last-Event-Id", String.valueOf(lastEvent));
                    headers.put("Resumes", id + "-1");
                }
                record.log("%s is sent to %s after event %d", attempt, edge, lastEvent);
                try {
                    record.log("%s ends: %s", attempt, readOnce(edge, headers));
                } catch (IOException broken) {
                    record.log("%s breaks after event %d", attempt, lastEvent);
                }
                Replica.pause(400);
            }
        }

        private String readOnce(String edge, Map<String, String> headers) throws IOException {
            int colon = edge.lastIndexOf(':');
            try (Socket socket = new Socket(edge.substring(0, colon), Integer.parseInt(edge.substring(colon + 1)))) {
                socket.setSoTimeout(5_000);
                socket.getOutputStream().write(Http.encode("POST /jodo117/2f HTTP/1.1", headers, Http.bytes(id)));
                BufferedReader lines = new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                String status = lines.readLine();
                int event = 0;
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    if (line.startsWith("id: ")) {
                        event = Integer.parseInt(line.substring(4));
                    } else if (line.startsWith("data: written by ")) {
                        writers.add(line.substring(17));
                        lastEvent = event;
                    }
                }
                return status;
            }
        }
    }
}
