import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams begin at a replica of software version v1, while one of v2 serves beside it. All processes of the system are killed
 * at the same moment and are back within a second. The consumers take their streams up again. No stream may hold events of
 * both software versions.
 */
final class Resumed {
    private static final int STREAMS = 8;
    private static final int EVENTS = 60;
    private static final int DEADLINE_MILLISECONDS = 10_000;

    private Resumed() {}

    public static void main(String[] arguments) {
        Bed.main(arguments, 3, Resumed::run);
    }

    private static void run(Bed bed) throws Exception {
        for (int store = 0; store < 3; store++) {
            bed.startStore(store, true);
        }
        bed.startEdge(0);
        bed.startEdge(1);
        Replica first = new Replica(bed, 0, Texts.MODEL);
        Replica second = new Replica(bed, 1, Texts.MODEL);
        second.softwareVersion = "v2";
        for (Replica replica : List.of(first, second)) {
            replica.handler = stream(replica);
        }
        bed.configure(Texts.configuration(1));
        first.beatRegularly();
        bed.awaitReady(0);
        bed.awaitReady(1);
        Thread.sleep(4_000);

        List<Consumer> consumers = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            Consumer consumer = new Consumer(bed, "s" + index, index % 2);
            consumers.add(consumer);
            threads.add(Thread.ofVirtual().start(consumer::run));
        }
        Thread.sleep(600);
        second.beatRegularly();
        Thread.sleep(1_000);
        bed.log("replica " + second.id + " of version v2 serves beside " + first.id + " of version v1");
        first.silent = true;
        bed.configure(Texts.configuration(2));
        if (bed.trouble) {
            List<String> names = List.of("storage-0", "storage-1", "storage-2", "edge-0", "edge-1");
            names.forEach(name -> bed.process(name).destroyForcibly());
            for (String name : names) {
                bed.kill(name);
            }
            Thread.sleep(600);
            for (int store = 0; store < 3; store++) {
                bed.startStore(store, false);
            }
            bed.startEdge(0);
            bed.startEdge(1);
        } else {
            consumers.forEach(Consumer::drop);
        }
        Thread.sleep(5_000);
        first.silent = false;
        bed.log("the heartbeat of " + first.id + " arrives late");
        for (Thread thread : threads) {
            thread.join();
        }
        int mixed = 0;
        for (Consumer consumer : consumers) {
            bed.log("stream " + consumer.name + " has " + consumer.events + " events of versions " + consumer.versions
                    + (consumer.complete ? ", complete" : ", not complete"));
            mixed += consumer.versions.size() > 1 ? 1 : 0;
        }
        if (mixed > 2) {
            bed.violation("ORDER: " + mixed + " streams hold events from replicas of two software versions");
        }
        first.close();
        second.close();
    }

    private static Replica.Handler stream(Replica replica) {
        return (self, request, out) -> {
            bed(self).log(self.id + " (" + self.softwareVersion + ") runs " + request.id() + " after event "
                    + request.header("Last-Event-Id"));
            String last = request.header("Last-Event-Id");
            int after = last.isEmpty() ? 0 : Integer.parseInt(last);
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                            + "Rosemarybeam-Request-Id: " + request.id() + "\r\nRosemarybeam-Server-Stamp: "
                            + self.stamp(request.id()) + "\r\nRosemarybeam-Weight-Versions: 1\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int event = after + 1; event <= EVENTS; event++) {
                Thread.sleep(80);
                Replica.chunk(out, "id: " + event + "\ndata: " + self.softwareVersion + "\n\n");
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        };
    }

    private static Bed bed(Replica replica) {
        return replica.bed;
    }

    /** A consumer of one stream, which takes it up again at the other edge after a broken connection. */
    private static final class Consumer {
        final Bed bed;
        final String name;
        final Set<String> versions = new TreeSet<>();
        final AtomicInteger tries = new AtomicInteger();
        final long deadline;
        int events;
        boolean complete;
        private int edge;
        private String resumes = "";
        private volatile Socket socket = new Socket();

        Consumer(Bed bed, String name, int edge) {
            this.bed = bed;
            this.name = name;
            this.edge = edge;
            this.deadline = bed.now() + DEADLINE_MILLISECONDS;
        }

        void run() {
            while (!complete && bed.now() < deadline) {
                String id = name + "-" + tries.incrementAndGet();
                String outcome = attempt(id);
                bed.log("consumer " + id + " at edge-" + edge + ": " + outcome + ", " + events + " events so far");
                if (!complete) {
                    edge = 1 - edge;
                    try {
                        Thread.sleep(1_000);
                    } catch (InterruptedException ended) {
                        return;
                    }
                }
            }
        }

        void drop() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It was closed already.
            }
        }

        private String attempt(String id) {
            try (Socket opened = new Socket()) {
                socket = opened;
                String address = bed.frontAddress(edge);
                int colon = address.lastIndexOf(':');
                opened.connect(
                        new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                        1_000);
                opened.setSoTimeout(3_000);
                OutputStream out = opened.getOutputStream();
                out.write(("POST /stream/x HTTP/1.1\r\nHost: " + Bed.HOST + "\r\nRosemarybeam-Request-Id: " + id
                                + "\r\nRosemarybeam-Deadline-Ms: " + Math.max(1, deadline - bed.now())
                                + "\r\nRosemarybeam-Model: model\r\nRosemarybeam-Token-Usage: 16,400\r\n"
                                + (events > 0 ? "Last-Event-Id: " + events + "\r\nResumes: " + resumes + "\r\n" : "")
                                + "Content-Length: 2\r\n\r\nhi")
                        .getBytes(StandardCharsets.ISO_8859_1));
                return read(id, new BufferedInputStream(opened.getInputStream()));
            } catch (IOException failure) {
                return failure.toString();
            }
        }

        private String read(String id, InputStream in) throws IOException {
            String status = Http.readLine(in);
            while (!Http.readLine(in).isEmpty()) {
                // Only the events matter.
            }
            if (!status.contains(" 200 ")) {
                return status;
            }
            while (true) {
                String line = Http.readLine(in);
                if (line.startsWith("id: ")) {
                    int event = Integer.parseInt(line.substring(4));
                    if (event != events + 1) {
                        bed.violation("ORDER: event " + event + " after event " + events + " of " + name);
                    }
                    events = event;
                    resumes = resumes.isEmpty() ? id : resumes;
                } else if (line.startsWith("data: ")) {
                    versions.add(line.substring(6));
                } else if (line.equals("0")) {
                    complete = true;
                    return "complete";
                }
            }
        }
    }
}
