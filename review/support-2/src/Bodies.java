import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Consumers send requests with bodies of 4 MB, within MaxBodyBytes of the configuration, half of them to each of two edges, and
 * others send short ones to the first edge. The second edge is stopped as planned and started again, up to four times, so that
 * its consumers use the first one for some seconds each time. The first edge is not disturbed: it must answer short requests half a second after their route's
 * TimeoutMs at the latest, during the load and when it is over.
 */
final class Bodies {
    private static final int SHORT_CONSUMERS = 16;
    private static final int LONG_CONSUMERS = 40;
    private static final int LONG_BYTES = 4_000_000;
    private static final int SHORT_BYTES = 600;
    private static final long LOAD_MILLISECONDS = 50_000;

    /** The 5 s for which a machine counts as choked after the load, and ContactMs. */
    private static final long REST_MILLISECONDS = 9_000;

    private static final int TIMEOUT_MILLISECONDS = 3_000;
    private static final int ANSWER_MILLISECONDS = TIMEOUT_MILLISECONDS + 500;
    private static final int PROBES = 24;

    /** Planned stops of the second edge, and the time between two of them. */
    private static final int ROUNDS = 4;

    private static final long PAUSE_MILLISECONDS = 5_000;
    private static final int UNANSWERED = 8;

    /** Time without any answer after which the load ends. */
    private static final long SILENT_MILLISECONDS = 7_500;

    private final Bed bed;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger answeredLong = new AtomicInteger();
    private final AtomicInteger endedLong = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private volatile long end;

    /** Whether lookups name edge-1. */
    private volatile boolean listed = true;

    private Bodies(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] arguments) {
        Bed.main(arguments, 3, bed -> new Bodies(bed).run());
    }

    private void run() throws Exception {
        for (int store = 0; store < 3; store++) {
            bed.startStore(store, true);
        }
        bed.startEdge(0);
        bed.startEdge(1);
        bed.configure(Texts.configuration(1));
        for (int index = 0; index < 3; index++) {
            Replica replica = new Replica(bed, index, Texts.PLAIN);
            replica.logsRuns = false;
            replica.handler = (self, request, out) -> {
                ran.add(request.id());
                Replica.answerPlain(self, request, out);
            };
            replica.beatRegularly();
        }
        bed.awaitReady(0);
        bed.awaitReady(1);
        Thread.sleep(4_000);
        end = bed.now() + LOAD_MILLISECONDS;
        for (int consumer = 0; consumer < SHORT_CONSUMERS; consumer++) {
            Thread.ofVirtual().start(this::sendShort);
        }
        byte[] body = new byte[LONG_BYTES];
        List<Http.Connection> uploads = new CopyOnWriteArrayList<>();
        for (int consumer = 0; consumer < LONG_CONSUMERS; consumer++) {
            int edge = consumer % 2;
            Thread.ofPlatform().daemon().start(() -> sendLong(body, uploads, edge));
        }
        Thread.sleep(8_000);
        bed.log(answeredLong + " long ones answered, " + endedLong + " ended otherwise, before edge-1 is stopped");
        if (bed.trouble) {
            Thread.ofPlatform().daemon().start(this::restartEdge);
        }
        int lastAnswered = 0;
        long lastAnswerAt = bed.now();
        while (bed.now() < end) {
            Thread.sleep(2_500);
            boolean runs = bed.process("edge-0").isAlive();
            bed.log(answered + " short requests answered, " + unanswered + " unanswered, " + closed
                    + " closed after a replica had run them; " + answeredLong + " long ones answered, " + endedLong
                    + " ended otherwise; edge-0 " + (runs ? "runs" : "has ended by itself"));
            if (!runs) {
                bed.startEdge(0);
            } else if (answered.get() > lastAnswered) {
                lastAnswered = answered.get();
                lastAnswerAt = bed.now();
            } else if (unanswered.get() >= UNANSWERED && bed.now() - lastAnswerAt > SILENT_MILLISECONDS) {
                end = bed.now();
            }
        }
        for (Http.Connection upload : uploads) {
            upload.close();
        }
        bed.log("no more long requests");
        if (unanswered.get() >= UNANSWERED && unanswered.get() > late.get()) {
            bed.violation("CONFIG: during the load " + unanswered + " short requests had no answer half a second after their"
                    + " route's TimeoutMs, " + late + " were answered in that half second");
        }
        Thread.sleep(REST_MILLISECONDS);
        probe();
        bed.logLines("edge-0", "OutOfMemoryError").stream()
                .filter(line -> line.contains("PROCESS_FAILED") || line.contains("UncaughtExceptionHandler"))
                .forEach(line -> bed.log("edge-0 wrote: " + line));
    }

    /** Sends short requests on new connections, all at once, to an edge at rest. */
    private void probe() throws InterruptedException {
        AtomicInteger inTime = new AtomicInteger();
        AtomicInteger delayed = new AtomicInteger();
        AtomicInteger none = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < PROBES; index++) {
            String id = "probe-" + index;
            threads.add(Thread.ofVirtual().start(() -> {
                long sentAt = bed.now();
                Http.Answer answer = Http.call(
                        bed.frontAddress(0), "POST", "/lookup/short", headers(id), new byte[SHORT_BYTES], ANSWER_MILLISECONDS);
                long elapsed = bed.now() - sentAt;
                bed.log("consumer of " + id + " got " + answer + " after " + elapsed + " ms");
                boolean isAnswered = answer.status() != 0;
                (!isAnswered ? none : elapsed > TIMEOUT_MILLISECONDS ? delayed : inTime).incrementAndGet();
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        boolean runs = bed.process("edge-0").isAlive();
        bed.log("at rest: " + inTime + " of " + PROBES + " short requests answered in time, " + delayed + " late, " + none
                + " not at all; edge-0 " + (runs ? "runs" : "has ended by itself"));
        if (none.get() >= UNANSWERED && none.get() > delayed.get()) {
            bed.violation("CONFIG: at rest " + none + " short requests had no answer half a second after their route's TimeoutMs, "
                    + REST_MILLISECONDS + " ms after the last long request");
        }
    }

    private void sendShort() {
        while (bed.now() < end) {
            try (Http.Connection kept = new Http.Connection(bed.frontAddress(0), ANSWER_MILLISECONDS)) {
                while (bed.now() < end) {
                    String id = "short-" + number.incrementAndGet();
                    long sentAt = bed.now();
                    Http.Answer answer = kept.call("POST", "/lookup/short", headers(id), new byte[SHORT_BYTES]);
                    if (answer.status() == 0) {
                        boolean isTimeout = answer.failure().contains("timed out");
                        boolean hasRun = ran.contains(id);
                        bed.log("consumer of " + id + " got " + answer + (hasRun ? "; a replica has run it" : ""));
                        if (isTimeout) {
                            unanswered.incrementAndGet();
                        } else if (hasRun) {
                            closed.incrementAndGet();
                        }
                        break;
                    }
                    answered.incrementAndGet();
                    late.addAndGet(bed.now() - sentAt > TIMEOUT_MILLISECONDS ? 1 : 0);
                    Thread.sleep(20);
                }
            } catch (IOException failure) {
                pause(500);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    /** Stops an edge as planned and starts it again, a few times; callers are told to use the other one meanwhile. */
    private void restartEdge() {
        try {
            for (int round = 0; round < ROUNDS && bed.now() < end; round++) {
                bed.terminate("edge-1");
                listed = false;
                bed.process("edge-1").waitFor();
                bed.log("edge-1 has ended");
                Thread.sleep(500);
                bed.startEdge(1);
                bed.awaitReady(1);
                listed = true;
                Thread.sleep(PAUSE_MILLISECONDS);
            }
        } catch (IOException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Sends long requests to one edge, on a kept connection while the edge keeps it. */
    private void sendLong(byte[] body, List<Http.Connection> uploads, int first) {
        int edge = first;
        while (bed.now() < end) {
            edge = listed ? edge : 0;
            try (Http.Connection kept = new Http.Connection(bed.frontAddress(edge), ANSWER_MILLISECONDS)) {
                uploads.add(kept);
                boolean isKept = true;
                while (isKept && bed.now() < end) {
                    Http.Answer answer =
                            kept.call("POST", "/lookup/long", headers("long-" + number.incrementAndGet()), body);
                    if (answer.status() == 200) {
                        answeredLong.incrementAndGet();
                        isKept = !answer.header("Connection").equalsIgnoreCase("close");
                    } else {
                        endedLong.incrementAndGet();
                        isKept = false;
                        edge = 1 - edge;
                    }
                    pause(300);
                }
            } catch (IOException failure) {
                endedLong.incrementAndGet();
                edge = 1 - edge;
            }
        }
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> headers(String id) {
        return Map.of(
                "Host", Bed.HOST, "Rosemarybeam-Request-Id", id, "Rosemarybeam-Deadline-Ms", "" + TIMEOUT_MILLISECONDS);
    }
}
