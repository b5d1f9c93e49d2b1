package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Two replicas of six answer reward calls with bodies without end; all others are sound. No item may be given up, because
 * KeepS is far away and no reward call was answered 500.
 */
final class EndlessReward {
    private static final int ITEMS = 48;
    private static final int STEPS = 3;

    private EndlessReward() {}

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, 3, 3, List.of(), EndlessReward::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<Replica> desks = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            new Replica(deployment, record, index, Trainer.ENGINES, List.of(Trainer.MODEL));
            desks.add(new Replica(deployment, record, 10 + index, Trainer.DESK, List.of()));
        }
        Trainer trainer = new Trainer(deployment, record);
        if (!trainer.configure(1, true, 20_000)) {
            return Case.NOT_RUN;
        }
        Replica.pause(4_000);
        if (!trainer.submit("step-0", ITEMS, 10_000) || !trainer.awaitComplete("step-0", ITEMS, 15)) {
            return Case.NOT_RUN;
        }
        if (trouble) {
            for (Replica faulty : desks.subList(0, 2)) {
                faulty.behave((request, out) -> endless(faulty, record, request, out));
                record.log("%s answers with bodies without end from now on", faulty.id());
            }
        }
        long terminated = 0;
        for (int step = 1; step <= STEPS; step++) {
            String id = "step-" + step;
            if (!trainer.submit(id, ITEMS, 10_000)) {
                return Case.NOT_RUN;
            }
            double accepted = record.seconds();
            Map<String, String> states = Map.of();
            while (record.seconds() < accepted + 25 && states.size() < ITEMS) {
                Http.Message page = trainer.read(id, 0);
                states = Trainer.states(page.text());
                Replica.pause(500);
            }
            long given = states.values().stream().filter("terminated"::equals).count();
            record.log("%d of %d items of %s are listed as terminated %.1f s after its 202: %s", given, states.size(), id,
                    record.seconds() - accepted, states);
            if (states.size() < ITEMS) {
                return Case.NOT_RUN;
            }
            terminated += given;
        }
        record.log("%d items are listed as terminated", terminated);
        return terminated > 0 ? Case.BROKEN : Case.HELD;
    }

    private static boolean endless(Replica replica, Record record, Http.Message request, OutputStream out)
            throws IOException {
        String id = request.header("Rosemarybeam-Request-Id");
        record.log("%s begins a body without end for %s", replica.id(), id);
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
        Replica.answerHeaders(id, "text/plain")
                .forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        out.write(Http.bytes(head.append("\r\n").toString()));
        String junk = "x".repeat(16_000);
        while (true) {
            Replica.chunk(out, junk);
        }
    }
}
