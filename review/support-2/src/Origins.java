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
 * Streams are open while two replicas of each of two software versions serve. All processes of the system are killed at the same
 * moment and are back within a second. When all machines are in touch again, the consumers take their streams up, and at the
 * same edges new streams begin.
 */
final class Origins {
    private static final int STREAMS = 18;
    private static final int EVENTS = 130;
    private static final int EVENT_MILLISECONDS = 80;
    private static final int DEADLINE_MILLISECONDS = 12_000;
    private static final long BREAK_MILLISECONDS = 1_500;

    /** Twice ContactMs, as after a final fault that took most of the core. */
    private static final long IN_TOUCH_MILLISECONDS = 6_000;

    private final Bed bed;

    private Origins(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] arguments) {
        Bed.main(arguments, 3, bed -> new Origins(bed).run());
    }

    private void run() throws Exception {
        for (int store = 0; store < 3; store++) {
            bed.startStore(store, true);
        }
        bed.startEdge(0);
        bed.startEdge(1);
        bed.configure(Texts.configuration(1));
        for (int index = 0; index < 4; index++) {
            Replica replica = new Replica(bed, index, Texts.MODEL);
            replica.softwareVersion = index < 2 ? "v1" : "v2";
            replica.logsRuns = false;
            replica.handler = Origins::generate;
            replica.beatRegularly();
        }
        bed.awaitReady(0);
        bed.awaitReady(1);
        Thread.sleep(5_000);

        List<Consumer> consumers = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            Consumer consumer = new Consumer("s" + index);
            consumers.add(consumer);
            int edge = index % 2;
            Thread.ofVirtual().start(() -> consumer.attempt(edge));
        }
        Thread.sleep(BREAK_MILLISECONDS);
        bed.configure(Texts.configuration(2));
        long inTouchAt = bed.now();
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
            inTouchAt = bed.now() + IN_TOUCH_MILLISECONDS;
        } else {
            consumers.forEach(Consumer::drop);
        }
        for (Consumer consumer : consumers) {
            bed.log("stream " + consumer.name + " broke after " + consumer.events + " events of " + consumer.versions);
        }
        long from = inTouchAt + 300;
        Thread.sleep(Math.max(1, from - bed.now()));
        bed.log("all machines are in touch; the consumers take up their streams, and new ones begin");
        List<Consumer> fresh = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            Consumer consumer = consumers.get(index);
            Consumer begins = new Consumer("new" + index);
            fresh.add(begins);
            int edge = index % 2;
            threads.add(Thread.ofVirtual().start(() -> consumer.resume(1 - edge)));
            threads.add(Thread.ofVirtual().start(() -> begins.attempt(edge)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        long begun = fresh.stream().filter(consumer -> consumer.events > 0).count();
        long goOn = consumers.stream().filter(consumer -> consumer.goesOn).count();
        long mixed = consumers.stream().filter(consumer -> consumer.versions.size() > 1).count();
        bed.log(goOn + " of " + STREAMS + " streams that were taken up go on, " + begun + " of " + STREAMS
                + " new streams began; " + mixed + " streams hold events of two versions");
        if (begun < STREAMS / 2) {
            throw new IllegalStateException("too few new streams began");
        }
        if (2 * goOn < begun) {
            bed.violation("LOST: " + goOn + " of " + STREAMS + " streams go on, while " + begun + " of " + STREAMS
                    + " new ones begin and two replicas of each software version serve");
        }
    }

    private static void generate(Replica replica, Replica.Request request, OutputStream out)
            throws IOException, InterruptedException {
        String last = request.header("Last-Event-Id");
        int after = last.isEmpty() ? 0 : Integer.parseInt(last);
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                        + "Rosemarybeam-Request-Id: " + request.id() + "\r\nRosemarybeam-Server-Stamp: "
                        + replica.stamp(request.id()) + "\r\nRosemarybeam-Weight-Versions: 1\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int event = after + 1; event <= EVENTS; event++) {
            Thread.sleep(EVENT_MILLISECONDS);
            Replica.chunk(out, "id: " + event + "\ndata: " + replica.softwareVersion + "\n\n");
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** A consumer of one stream. */
    private final class Consumer {
        final String name;
        final Set<String> versions = new TreeSet<>();
        volatile int events;
        volatile boolean goesOn;
        private final AtomicInteger tries = new AtomicInteger();
        private final long deadline = bed.now() + DEADLINE_MILLISECONDS;
        private String resumes = "";
        private volatile Socket socket = new Socket();

        Consumer(String name) {
            this.name = name;
        }

        /** Takes the stream up, in three tries at most. */
        void resume(int edge) {
            int before = events;
            for (int attempt = 0; attempt < 3 && !goesOn && bed.now() < deadline; attempt++) {
                attempt((edge + attempt) % 2);
                goesOn = events > before;
                pause(700);
            }
        }

        void drop() {
            try {
                socket.close();
            } catch (IOException closed) {
                return;
            }
        }

        /** Makes one try; returns when the stream has ended or a second after its first event in a later try. */
        void attempt(int edge) {
            String id = name + "-" + tries.incrementAndGet();
            String outcome;
            try (Socket opened = new Socket()) {
                socket = opened;
                opened.connect(new InetSocketAddress(bed.edgeHost(edge), bed.frontPort), 1_000);
                opened.setSoTimeout(3_000);
                opened.getOutputStream()
                        .write(("POST /stream/x HTTP/1.1\r\nHost: " + Bed.HOST + "\r\nRosemarybeam-Request-Id: " + id
                                        + "\r\nRosemarybeam-Deadline-Ms: " + Math.max(1, deadline - bed.now())
                                        + "\r\nRosemarybeam-Model: model\r\nRosemarybeam-Token-Usage: 16,400\r\n"
                                        + (events > 0
                                                ? "Last-Event-Id: " + events + "\r\nResumes: " + resumes + "\r\n"
                                                : "")
                                        + "Content-Length: 2\r\n\r\nhi")
                                .getBytes(StandardCharsets.ISO_8859_1));
                outcome = read(id, new BufferedInputStream(opened.getInputStream()), name.startsWith("new") || tries.get() > 1);
            } catch (IOException failure) {
                outcome = String.valueOf(failure);
            }
            bed.log("consumer " + id + " at edge-" + edge + ": " + outcome + ", " + events + " events so far");
        }

        private String read(String id, InputStream in, boolean briefly) throws IOException {
            String status = Http.readLine(in);
            while (!Http.readLine(in).isEmpty()) {
                continue;
            }
            if (!status.contains(" 200 ")) {
                return status;
            }
            int first = events;
            while (!briefly || events < first + 3) {
                String line = Http.readLine(in);
                if (line.startsWith("id: ")) {
                    events = Integer.parseInt(line.substring(4));
                    resumes = resumes.isEmpty() ? id : resumes;
                } else if (line.startsWith("data: ")) {
                    versions.add(line.substring(6));
                } else if (line.equals("0")) {
                    return "complete";
                }
            }
            return "goes on";
        }
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
