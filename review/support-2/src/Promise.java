import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of seven replicas fails a part of the requests that it runs, with status 503 and without Rosemarybeam-Not-Executed,
 * while its status check is good. No caller of a request that may run once may get a status that promises that it has not run.
 */
final class Promise {
    private static final int REPLICAS = 7;
    private static final long GREY_MILLISECONDS = 6_000;

    /** Of each 20 requests at the grey replica 9 fail. */
    private static final int FAILED_OF_20 = 9;

    private Promise() {}

    public static void main(String[] arguments) {
        Bed.main(arguments, 3, Promise::run);
    }

    private static void run(Bed bed) throws Exception {
        for (int store = 0; store < 3; store++) {
            bed.startStore(store, true);
        }
        bed.startEdge(0);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        AtomicInteger turn = new AtomicInteger();
        Replica[] replicas = new Replica[REPLICAS];
        bed.configure(Texts.configuration(1));
        for (int index = 0; index < replicas.length; index++) {
            replicas[index] = new Replica(bed, index, Texts.PLAIN);
            replicas[index].handler = (replica, request, out) -> {
                ran.add(request.id());
                Thread.sleep(30);
                boolean isGrey = bed.trouble && replica == replicas[0];
                int status = isGrey && turn.getAndIncrement() % 20 < FAILED_OF_20 ? 503 : 200;
                if (status != 200) {
                    bed.log(replica.id + " answers " + request.id() + " with " + status);
                }
                replica.answer(out, status, request.id(), "", ("ran " + request.id()).getBytes(StandardCharsets.UTF_8), true);
            };
            replicas[index].beatRegularly();
        }
        bed.awaitReady(0);
        Thread.sleep(4_000);
        int broken = 0;
        int sent = 0;
        int twice = 0;
        long end = bed.now() + GREY_MILLISECONDS;
        while (bed.now() < end) {
            sent++;
            int before = ran.size();
            if (isRefused(bed, ran, "order-" + sent, sent)) {
                broken++;
                // The answer promises that the order has not run, so its consumer sends it again under another id.
                isRefused(bed, ran, "order-" + sent + "-again", sent);
                twice += ran.size() - before > 1 ? 1 : 0;
            }
        }
        bed.log(twice + " orders were carried out twice");
        if (broken > 0) {
            bed.violation("REFUSED: " + broken + " of " + sent
                    + " requests that may run once were answered 503 and have run; " + twice
                    + " orders were carried out twice");
        }
        for (Replica replica : replicas) {
            replica.close();
        }
    }

    /** Sends an order; returns whether it has run and was answered with a status that promises that it has not. */
    private static boolean isRefused(Bed bed, Set<String> ran, String id, int order) {
        Http.Answer answer = Http.call(
                bed.frontAddress(0),
                "POST",
                "/order/x",
                Map.of("Host", Bed.HOST, "Rosemarybeam-Request-Id", id, "Rosemarybeam-Deadline-Ms", "3000"),
                ("order " + order).getBytes(StandardCharsets.UTF_8),
                4_000);
        boolean isBroken = Set.of(408, 421, 429, 503).contains(answer.status()) && ran.contains(id);
        bed.log("caller of " + id + " got " + answer + (isBroken ? ", though it has run" : ""));
        return isBroken;
    }
}
