package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import io.rosemarybeam.common.wire.EndpointCrash;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against hosts that pass the same crashes on to each other for ever, or that end in different states. */
class CrashRegistryTest {
    private static final Fingerprint REQUEST = Fingerprint.of("request");
    private static final int HOSTS = 4;
    private static final int CRASHES = 5;
    private static final int SEEDS = 200;

    /** Each host passes on each of the two changes of a crash at most once to each other host. */
    private static final int MAXIMUM_MESSAGES = 2 * CRASHES * HOSTS * (HOSTS - 1);

    /** A message on its way to a host. */
    private record Delivery(int host, List<EndpointCrash> crashes) {}

    private final List<Delivery> network = new ArrayList<>();
    private final List<CrashRegistry> hosts = new ArrayList<>();
    private int sent;

    private void createHosts() {
        for (int host = 0; host < HOSTS; host++) {
            int sender = host;
            hosts.add(new CrashRegistry(crashes -> sendToOthers(sender, crashes)));
        }
    }

    private void sendToOthers(int sender, List<EndpointCrash> crashes) {
        for (int host = 0; host < HOSTS; host++) {
            if (host != sender) {
                network.add(new Delivery(host, crashes));
                sent++;
            }
        }
    }

    private void deliverOne(Random random) {
        Delivery delivery = network.remove(random.nextInt(network.size()));
        List<EndpointCrash> changes = hosts.get(delivery.host()).merge(delivery.crashes());
        if (!changes.isEmpty()) {
            sendToOthers(delivery.host(), changes);
        }
    }

    private static EndpointAnnouncement endpoint(int number) {
        return new EndpointAnnouncement(
                EndpointId.of("e-" + number),
                1,
                1,
                ServiceName.of("desk"),
                "10.0.0.1:80",
                FailureDomain.of("fes"),
                6,
                State.READY,
                List.of(),
                "v1");
    }

    @Test
    void shouldSettleWhenCrashesAndTheirClearingCrossOnTheWire() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            network.clear();
            hosts.clear();
            sent = 0;
            createHosts();
            for (int crash = 0; crash < CRASHES; crash++) {
                hosts.get(random.nextInt(HOSTS)).recordCrash(REQUEST, endpoint(crash));
                hosts.get(random.nextInt(HOSTS)).recordAnswer(REQUEST);
            }
            while (!network.isEmpty() && sent <= MAXIMUM_MESSAGES) {
                deliverOne(random);
            }

            assertTrue(sent <= MAXIMUM_MESSAGES, "seed " + seed + ": " + sent + " messages");
            long states = hosts.stream()
                    .mapToInt(host -> host.crashes(REQUEST))
                    .distinct()
                    .count();
            assertEquals(1, states, "seed " + seed);
        }
    }
}
