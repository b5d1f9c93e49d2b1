import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some consumers send requests with long bodies, within MaxBodyBytes of the configuration, while others send short ones to the
 * same edge. When the long ones are over and the edge has had time to recover, short requests must be answered half a second
 * after their route's TimeoutMs at the latest.
 */
final class Bodies {
    private static final int SHORT_CONSUMERS = 16;
    private static final int LONG_CONSUMERS = 24;
    private static final int LONG_BYTES = 10_000_000;
    private static final int SHORT_BYTES = 600;
    private static final long LOAD_MILLISECONDS = 50_000;

    /** The 5 s for which a machine counts as choked after the load, and ContactMs. */
    private static final long REST_MILLISECONDS = 9_000;

    private static final int TIMEOUT_MILLISECONDS = 3_000;
    private static final int ANSWER_MILLISECONDS = TIMEOUT_MILLISECONDS + 500;
    private static final int PROBES = 24;
    private static final int UNANSWERED = 8;

    private final Bed bed;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger answeredLong = new AtomicInteger();
    private final AtomicInteger endedLong = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private volatile long end;

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
        Thread.sleep(4_000);
        end = bed.now() + LOAD_MILLISECONDS;
        for (int consumer = 0; consumer < SHORT_CONSUMERS; consumer++) {
            Thread.ofVirtual().start(this::sendShort);
        }
        byte[] body = new byte[bed.trouble ? LONG_BYTES : SHORT_BYTES];
        List<Http.Connection> uploads = new CopyOnWriteArrayList<>();
        for (int consumer = 0; consumer < LONG_CONSUMERS; consumer++) {
            Thread.ofPlatform().daemon().start(() -> sendLong(body, uploads));
        }
        while (bed.now() < end) {
            Thread.sleep(2_500);
            boolean runs = bed.process("edge-0").isAlive();
            bed.log(answered + " short requests answered, " + unanswered + " unanswered, " + closed
                    + " closed after a replica had run them; " + answeredLong + " long ones answered, " + endedLong
                    + " ended otherwise; edge-0 " + (runs ? "runs" : "has ended by itself"));
            if (!runs) {
                bed.startEdge(0);
            } else if (unanswered.get() >= UNANSWERED) {
                end = bed.now();
            }
        }
        for (Http.Connection upload : uploads) {
            upload.close();
        }
        bed.log("no more long requests");
        Thread.sleep(REST_MILLISECONDS);
        probe();
        bed.logLines("edge-0", "OutOfMemoryError").stream()
                .filter(line -> line.contains("PROCESS_FAILED") || line.contains("UncaughtExceptionHandler"))
                .forEach(line -> bed.log("edge-0 wrote: " + line));
    }

    /** Sends short requests on new connections, all at once, to an edge at rest. */
    private void probe() throws InterruptedException {
        AtomicInteger inTime = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
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
                (!isAnswered ? none : elapsed > TIMEOUT_MILLISECONDS ? late : inTime).incrementAndGet();
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        boolean runs = bed.process("edge-0").isAlive();
        bed.log("at rest: " + inTime + " of " + PROBES + " short requests answered in time, " + late + " late, " + none
                + " not at all; edge-0 " + (runs ? "runs" : "has ended by itself"));
        if (none.get() >= UNANSWERED && none.get() > late.get()) {
            bed.violation("CONFIG: " + none + " requests have no answer half a second after their route's TimeoutMs, "
                    + REST_MILLISECONDS + " ms after the last long request");
        }
    }

    private void sendShort() {
        while (bed.now() < end) {
            try (Http.Connection kept = new Http.Connection(bed.frontAddress(0), ANSWER_MILLISECONDS)) {
                while (bed.now() < end) {
                    String id = "short-" + number.incrementAndGet();
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
                    Thread.sleep(20);
                }
            } catch (IOException failure) {
                pause(500);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    private void sendLong(byte[] body, List<Http.Connection> uploads) {
        while (bed.now() < end) {
            try (Http.Connection kept = new Http.Connection(bed.frontAddress(0), ANSWER_MILLISECONDS)) {
                uploads.add(kept);
                while (bed.now() < end) {
                    Http.Answer answer =
                            kept.call("POST", "/lookup/long", headers("long-" + number.incrementAndGet()), body);
                    if (answer.status() != 200) {
                        endedLong.incrementAndGet();
                        break;
                    }
                    answeredLong.incrementAndGet();
                    pause(300);
                }
            } catch (IOException failure) {
                endedLong.incrementAndGet();
            }
            pause(300);
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
