package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One replica of six answers items with bodies without end for some seconds, then it is sound again; all others are sound all
 * the time. Every item must be listed in the end.
 */
final class EndlessBody {
    /** Memory of a store machine on the sheets; the heap of a store is a share of it. */
    private static final String MACHINE_MEMORY = "-XX:MaxRAM=470m";

    private static final int ITEMS = 48;
    private static final double TROUBLE_S = 12;

    /** KeepS of the route and FinishS: by then each item must be listed, if only as given up. */
    private static final double LISTED_WITHIN_S = 40 + 10;

    private static final double AT_NO_REPLICA_S = 5;

    private EndlessBody() {}

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, 3, 3, List.of(MACHINE_MEMORY), EndlessBody::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<Replica> engines = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            engines.add(new Replica(deployment, record, index, Trainer.ENGINES, List.of(Trainer.MODEL)));
            new Replica(deployment, record, 10 + index, Trainer.DESK, List.of());
        }
        Trainer trainer = new Trainer(deployment, record);
        if (!trainer.configure(1, true, 20_000)) {
            return Case.NOT_RUN;
        }
        Replica.pause(4_000);
        if (!trainer.submit("step-0", ITEMS, 10_000) || !trainer.awaitComplete("step-0", ITEMS, 15)) {
            return Case.NOT_RUN;
        }
        AtomicLong sent = new AtomicLong();
        double endOfTrouble = record.seconds() + TROUBLE_S;
        if (trouble) {
            Replica faulty = engines.getFirst();
            faulty.behave((request, out) -> endless(faulty, record, request, out, sent, endOfTrouble));
            record.log("%s answers with bodies without end for %.0f s", faulty.id(), TROUBLE_S);
        }
        if (!trainer.submit("step-1", ITEMS, 10_000)) {
            return Case.NOT_RUN;
        }
        Map<String, Double> lastAtReplica = new HashMap<>();
        double accepted = record.seconds();
        Map<String, String> states = Map.of();
        double nextRead = accepted;
        while (record.seconds() < accepted + LISTED_WITHIN_S && states.size() < ITEMS) {
            for (String name : deployment.restartEnded()) {
                record.log("%s has ended by itself and is started again", name);
            }
            for (int index = 0; index < ITEMS; index++) {
                String item = Trainer.item("step-1", index);
                if (engines.stream().anyMatch(engine -> engine.isRunning(item))) {
                    lastAtReplica.put(item, record.seconds());
                }
            }
            if (record.seconds() >= nextRead) {
                Http.Message page = trainer.read("step-1", 0);
                states = page.status() == 200 ? Trainer.states(page.text()) : states;
                record.log("a read of step-1 is answered %d with %d results; %d MB sent without end so far",
                        page.status(), Trainer.states(page.text()).size(), sent.get() >> 20);
                nextRead = record.seconds() + 1;
            }
            Replica.pause(20);
        }
        int lost = 0;
        for (int index = 0; index < ITEMS; index++) {
            String item = Trainer.item("step-1", index);
            double seen = lastAtReplica.getOrDefault(item, accepted);
            if (!states.containsKey(item) && record.seconds() - seen > AT_NO_REPLICA_S) {
                record.log("LOST: %s is not listed and has been at no replica for %.1f s", item,
                        record.seconds() - seen);
                lost++;
            }
        }
        boolean configured = trainer.configure(2, true, 10_000);
        record.log("lost items %d, listed %s, a new configuration is acknowledged: %s", lost, states.size(), configured);
        return lost > 0 ? Case.BROKEN : Case.HELD;
    }

    /** After a sound head, events of junk follow without end; the item may have 1,600 tokens at most. */
    private static boolean endless(
            Replica replica,
            Record record,
            Http.Message request,
            OutputStream out,
            AtomicLong sent,
            double endOfTrouble)
            throws IOException {
        if (record.seconds() > endOfTrouble) {
            return false;
        }
        String item = request.header("Rosemarybeam-Request-Id");
        int after = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
        record.log("%s begins a body without end for %s after event %d", replica.id(), item, after);
        replica.beginStream(request, out);
        String junk = "x".repeat(16_000);
        Thread.ofVirtual().start(() -> {
            while (record.seconds() < endOfTrouble) {
                Replica.pause(50);
            }
            try {
                out.close();
            } catch (IOException closed) {
                // The caller was faster.
            }
        });
        for (long event = after + 1; ; event++) {
            Replica.chunk(out, "id: " + event + "\ndata: " + junk + "\n\n");
            sent.addAndGet(junk.length());
        }
    }
}
