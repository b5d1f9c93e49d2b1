import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A replica deregisters; all store processes are killed at the same moment and are back within a second; a heartbeat that
 * the replica sent before it deregistered arrives late. Nothing may reach the replica later than DrainMs after its
 * deregistration was acknowledged.
 */
final class Departed {
    private static final long DRAIN_MILLISECONDS = 2_000;
    private static final int ITEMS = 24;

    private Departed() {}

    public static void main(String[] arguments) {
        Bed.main(arguments, 3, Departed::run);
    }

    private static void run(Bed bed) throws Exception {
        for (int store = 0; store < 3; store++) {
            bed.startStore(store, true);
        }
        bed.startEdge(0);
        Replica staying = new Replica(bed, 0, Texts.MODEL);
        Replica leaving = new Replica(bed, 1, Texts.MODEL);
        staying.handler = Replica.generate(10, 20, 20);
        leaving.handler = Replica.generate(10, 20, 20);
        bed.configure(Texts.configuration(1));
        staying.beatRegularly();
        leaving.beatRegularly();
        bed.awaitReady(0);
        Thread.sleep(4_000);
        complete(bed, "first");
        bed.log("runs before: " + staying.id + " " + staying.runs + ", " + leaving.id + " " + leaving.runs);
        if (leaving.runs.get() == 0) {
            throw new IllegalStateException("the replica that is to leave got no work before");
        }
        Thread.sleep(1_000);

        leaving.silent = true;
        Thread.sleep(200);
        String late = leaving.heartbeat(leaving.sequence.incrementAndGet(), "ready");
        bed.log(leaving.id + " sends heartbeat " + leaving.sequence + ", which will arrive late");
        leaving.leaving = true;
        if (!bed.control("/api/replicas/" + leaving.id + "/deregister", "{\"born\":" + leaving.born + "}", 0)) {
            throw new IllegalStateException("the deregistration was not acknowledged");
        }
        long acknowledgedAt = bed.now();
        bed.log("storage-0 acknowledged the deregistration of " + leaving.id);
        Thread.sleep(500);
        if (bed.trouble) {
            for (int store = 0; store < 3; store++) {
                bed.process(Bed.store(store)).destroyForcibly();
            }
            for (int store = 0; store < 3; store++) {
                bed.kill(Bed.store(store));
            }
            Thread.sleep(500);
            for (int store = 0; store < 3; store++) {
                bed.startStore(store, false);
            }
        }
        waitUntil(bed, acknowledgedAt + 4_500);
        Http.Answer answer = Http.call(
                bed.controlAddress(1),
                "POST",
                "/api/replicas/" + leaving.id + "/heartbeat",
                Map.of(),
                late.getBytes(StandardCharsets.UTF_8),
                1_000);
        bed.log("the late heartbeat arrives at storage-1 " + (bed.now() - acknowledgedAt)
                + " ms after the acknowledgement; answered " + answer);
        waitUntil(bed, acknowledgedAt + 5_000);
        int before = leaving.runs.get();
        complete(bed, "second");
        int after = leaving.runs.get() - before;
        bed.log("runs after: " + leaving.id + " " + after + ", " + (bed.now() - acknowledgedAt)
                + " ms after the acknowledgement");
        if (after > 0 && bed.now() - acknowledgedAt > DRAIN_MILLISECONDS) {
            bed.violation("DRAIN: " + after + " items reached " + leaving.id
                    + " more than 4 s after its deregistration was acknowledged");
        }
        staying.close();
        leaving.close();
    }

    /** Submits items and reads until all are listed. */
    private static void complete(Bed bed, String name) throws Exception {
        Map<String, String> headers = Map.of("Host", Bed.HOST, "Rosemarybeam-Request-Id", name);
        byte[] body = Texts.submission(name, ITEMS, 400).getBytes(StandardCharsets.UTF_8);
        long deadline = bed.now() + 12_000;
        Http.Answer submitted = new Http.Answer(0, Map.of(), new byte[0], false, "");
        while (submitted.status() != 202 && bed.now() < deadline) {
            submitted = Http.call(bed.frontAddress(0), "POST", "/train/x", headers, body, 4_000);
            bed.log("submission " + name + " answered " + submitted);
        }
        int next = 0;
        while (next < ITEMS && bed.now() < deadline) {
            Http.Answer page = Http.call(
                    bed.frontAddress(0),
                    "GET",
                    "/api/lots/" + name + "?After=" + next,
                    Map.of("Host", Bed.HOST, "Rosemarybeam-Wait-Ms", "1000"),
                    new byte[0],
                    4_000);
            if (page.status() == 200) {
                String text = page.text();
                int at = text.indexOf("\"Next\":") + "\"Next\":".length();
                next = Integer.parseInt(text.substring(at).split("[,}]")[0]);
            } else {
                Thread.sleep(200);
            }
        }
        bed.log("submission " + name + ": " + next + " of " + ITEMS + " items are listed");
        if (next < ITEMS) {
            throw new IllegalStateException("submission " + name + " was not completed");
        }
    }

    private static void waitUntil(Bed bed, long time) throws InterruptedException {
        Thread.sleep(Math.max(1, time - bed.now()));
    }
}
