import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some items fail in their first two runs with status 500 and complete in the third. Three of five replicas send a second copy
 * of a few of their answers, late, at the point where the next answer on the connection is expected. No item may be given up
 * before MaxAttempts, which is three, of its runs were answered with 500.
 */
final class Extra {
    private static final int REPLICAS = 5;
    private static final int GARBLING = 3;
    private static final double GARBLED_SHARE = 0.03;
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final int FAILED_RUNS = 2;
    private static final int ITEMS = 200;
    private static final int MAXIMUM_FAILING = 12;

    /** How long replicas garble answers, in milliseconds. */
    private static final long GARBLED_MILLISECONDS = 5_000;

    private final Bed bed;
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private final Map<Socket, byte[]> pending = new WeakHashMap<>();

    /** Answers of 500 by item, without copies. */
    private final Map<String, AtomicInteger> failures = new ConcurrentHashMap<>();

    private volatile long garbledUntil;

    private Extra(Bed bed) {
        this.bed = bed;
    }

    public static void main(String[] arguments) {
        Bed.main(arguments, 3, bed -> new Extra(bed).run());
    }

    private void run() throws Exception {
        for (int store = 0; store < 3; store++) {
            bed.startStore(store, true);
        }
        bed.startEdge(0);
        bed.configure(Texts.configuration(1));
        List<Replica> replicas = new ArrayList<>();
        for (int index = 0; index < REPLICAS; index++) {
            Replica replica = new Replica(bed, index, Texts.MODEL);
            boolean garbles = bed.trouble && index < GARBLING;
            replica.handler = (self, request, out) -> answer(self, request, out, garbles);
            replica.beatRegularly();
            replicas.add(replica);
        }
        bed.awaitReady(0);
        Thread.sleep(4_000);
        submit("warm", 10);
        await("warm", 10);
        answers.set(0);
        garbledUntil = bed.now() + GARBLED_MILLISECONDS;
        submit("sound", ITEMS);
        await("sound", ITEMS);
        bed.log(answers + " answers so far");
        for (int index = 0; index < MAXIMUM_FAILING && bed.now() < garbledUntil - 500; index++) {
            submit("fails" + index, 1);
            String page = await("fails" + index, 1);
            int failed = failures.getOrDefault("fails" + index + "-0", new AtomicInteger()).get();
            bed.log("item fails" + index + "-0: " + failed + " runs answered 500; result "
                    + page.replaceAll("\"Text\":\"[^\"]*\"", "\"Text\":..."));
            if (page.contains("terminated") && failed < MAXIMUM_ATTEMPTS) {
                bed.violation("MIXED: item fails" + index + "-0 is terminated after " + failed + " answers of 500, before "
                        + MAXIMUM_ATTEMPTS);
            }
        }
        bed.log(copies + " copies for " + answers + " answers");
        if (bed.trouble && copies.get() == 0) {
            throw new IllegalStateException("no answer was sent twice");
        }
        for (Replica replica : replicas) {
            replica.close();
        }
    }

    private void answer(Replica replica, Replica.Request request, OutputStream out, boolean garbles) {
        try {
            byte[] copy;
            synchronized (pending) {
                copy = pending.remove(request.socket());
            }
            if (copy != null) {
                bed.log(replica.id + " sends a second copy of its last answer on this connection");
                out.write(copy);
                out.flush();
            }
            if (!request.id().startsWith("fails")) {
                answers.incrementAndGet();
                Replica.generate(10, 5, 20).run(replica, request, out);
                return;
            }
            if (failures.getOrDefault(request.id(), new AtomicInteger()).get() == FAILED_RUNS) {
                bed.log(replica.id + " completes " + request.id() + " in its " + (FAILED_RUNS + 1) + ". run");
                answers.incrementAndGet();
                Replica.generate(3, 5, 20).run(replica, request, out);
                return;
            }
            Thread.sleep(200);
            byte[] body = "failed".getBytes(StandardCharsets.UTF_8);
            replica.answer(out, 500, request.id(), "", body, true);
            answers.incrementAndGet();
            int failed = failures.computeIfAbsent(request.id(), ignored -> new AtomicInteger()).incrementAndGet();
            bed.log(replica.id + " answers " + request.id() + " with 500, for the " + failed + ". time");
            if (garbles && failed == 1 && bed.now() < garbledUntil && copies.get() + 1 <= GARBLED_SHARE * answers.get()) {
                copies.incrementAndGet();
                ByteArrayOutputStream again = new ByteArrayOutputStream();
                replica.answer(again, 500, request.id(), "", body, true);
                synchronized (pending) {
                    pending.put(request.socket(), again.toByteArray());
                }
            }
        } catch (IOException | InterruptedException ended) {
            throw new IllegalStateException(ended);
        }
    }

    private void submit(String name, int items) {
        Http.Answer answer = Http.call(
                bed.frontAddress(0),
                "POST",
                "/train/x",
                Map.of("Host", Bed.HOST, "Rosemarybeam-Request-Id", name),
                Texts.submission(name, items, 400).getBytes(StandardCharsets.UTF_8),
                4_000);
        bed.log("submission " + name + " answered " + answer);
    }

    private String await(String name, int items) throws Exception {
        long deadline = bed.now() + 12_000;
        while (bed.now() < deadline) {
            Http.Answer page = Http.call(
                    bed.frontAddress(0),
                    "GET",
                    "/api/lots/" + name + "?After=0",
                    Map.of("Host", Bed.HOST),
                    new byte[0],
                    4_000);
            if (page.status() == 200 && page.text().contains("\"Next\":" + items)) {
                return page.text();
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("submission " + name + " was not completed");
    }
}
