package review;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * The operator removes the route of the rewards for two seconds and adds it again, while a batch submission is open. No item
 * may be given up, because its own route stays and KeepS is far away.
 */
final class RewardRoute {
    private static final int ITEMS = 24;

    private RewardRoute() {}

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, 3, 3, List.of(), RewardRoute::run);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        for (int index = 0; index < 6; index++) {
            new Replica(deployment, record, index, Trainer.ENGINES, List.of(Trainer.MODEL));
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
        if (!trainer.submit("step-1", ITEMS, 10_000)) {
            return Case.NOT_RUN;
        }
        double accepted = record.seconds();
        if (!trainer.configure(2, !trouble, 4_000)) {
            return Case.NOT_RUN;
        }
        Replica.pause(2_000);
        if (!trainer.configure(3, true, 4_000)) {
            return Case.NOT_RUN;
        }
        Map<String, String> states = Map.of();
        while (record.seconds() < accepted + 20 && states.size() < ITEMS) {
            Http.Message page = trainer.read("step-1", 0);
            states = Trainer.states(page.text());
            record.log("a read of step-1 is answered %d: %s", page.status(), states);
            Replica.pause(500);
        }
        long terminated = states.values().stream().filter("terminated"::equals).count();
        record.log("%d of %d items are listed as terminated %.1f s after the 202", terminated, states.size(),
                record.seconds() - accepted);
        if (terminated > 0) {
            return Case.BROKEN;
        }
        return states.size() == ITEMS ? Case.HELD : Case.NOT_RUN;
    }
}
