package io.rosemarybeam.edge;

import java.nio.file.Path;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Guards against one odd heartbeat that ends a store host, hides a sound endpoint or attracts its requests. */
class OddHeartbeatTest {
    private static final int REQUESTS = 20;
    private static final String SOUND_ID = "e-1";

    /** Precedes the other id, so that the endpoint is preferred if nothing else tells them apart. */
    private static final String ODD_ID = "a-1";

    private static final long STARTED = System.currentTimeMillis() - 60_000;

    /** An entry for the address of an endpoint that must get no requests; placeholders: address, start. */
    private static final String OTHER = """
            {"Backend":"desk","Address":"ODD","Zone":"fes","Version":"v1","Capacity":4,"State":"ready",\
            "WarmupLeftMs":0,"Models":[],"born":STARTED,"Sequence":9}""";

    @TempDir
    Path folder;

    private final LimitedEndpoint sound = new LimitedEndpoint();
    private final LimitedEndpoint odd = new LimitedEndpoint();
    private PlatformCluster cluster;

    @BeforeEach
    void start() {
        sound.runAs(SOUND_ID);
        cluster = new PlatformCluster(folder);
        cluster.startStore();
        configure(1);
        cluster.announce(SOUND_ID, sound.address(), STARTED, "v1", 1);
        cluster.startEdge(0);
        PlatformCluster.await("the edge serves", () -> cluster.request(0, "ready", "x") == 200 ? true : null);
    }

    private void configure(int version) {
        cluster.configure("""
                {"Version":%d,"Routes":[{"Name":"r","Hostname":"%s","PathPrefix":"/x/","RouteType":"idempotent",
                "TimeoutMs":2000,"TargetLatencyMs":300,"Priority":0,"Backend":"desk","MaxAttempts":2}],
                "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false}]}
                """.formatted(version, PlatformCluster.STORE_HOST));
    }

    @AfterEach
    void close() {
        cluster.close();
        sound.close();
        odd.close();
    }

    private static String with(String field, String value) {
        return OTHER.replaceFirst("\"" + field + "\":(\"[^\"]*\"|\\w+|\\[])", "\"" + field + "\":" + value);
    }

    private static String atSoundAddress(String text) {
        return text.replace("ODD", "SOUND");
    }

    static Stream<Arguments> oddHeartbeats() {
        String now = String.valueOf(System.currentTimeMillis());
        return Stream.of(
                arguments("deep nesting", ODD_ID, with("Models", "[".repeat(100_000) + "]".repeat(100_000))),
                arguments("deep nesting, not closed", ODD_ID, "{\"a\":".repeat(100_000)),
                arguments("largest capacity", ODD_ID, with("Capacity", "2147483647")),
                arguments("capacity of more than 32 bits", ODD_ID, with("Capacity", "3000000000")),
                arguments("capacity of more than 64 bits", ODD_ID, with("Capacity", "9".repeat(500))),
                arguments("long exponent", ODD_ID, with("Capacity", "1e999999999")),
                arguments("negative capacity", ODD_ID, with("Capacity", "-8")),
                arguments("port out of range", ODD_ID, with("Address", "\"127.0.0.1:65536\"")),
                arguments("port of many digits", ODD_ID, with("Address", "\"127.0.0.1:99999999999\"")),
                arguments("address of no host", ODD_ID, with("Address", "\"0.0.0.0:80\"")),
                arguments("text as a number", ODD_ID, with("Capacity", "\"4\"")),
                arguments("more than a frame", ODD_ID, with("Version", "\"" + "v".repeat(9_000_000) + "\"")),
                arguments("unknown state", ODD_ID, with("State", "\"odd\"")),
                arguments("largest sequence", SOUND_ID, with("Sequence", "9223372036854775807")),
                arguments("sequence beyond the age", SOUND_ID, with("Sequence", "9007199254740991")),
                arguments("largest start", SOUND_ID, with("born", "9223372036854775807")),
                arguments("start in the future", ODD_ID, atSoundAddress(with("born", "99" + now))),
                arguments("same start", ODD_ID, atSoundAddress(OTHER)),
                arguments(
                        "service that is not configured",
                        ODD_ID,
                        atSoundAddress(with("born", now)).replace("\"desk\"", "\"other\"")),
                arguments("service that is not configured", SOUND_ID, with("Backend", "\"other\"")));
    }

    @ParameterizedTest(name = "{0} under id {1}")
    @MethodSource("oddHeartbeats")
    void shouldGoOnUsingTheSoundEndpointWhenAnotherHeartbeatIsOdd(String kind, String id, String text) {
        cluster.heartbeat(
                id,
                text.replace("ODD", odd.address())
                        .replace("SOUND", sound.address())
                        .replace("STARTED", String.valueOf(STARTED)));
        cluster.announce(SOUND_ID, sound.address(), STARTED, "v1", 2);
        int before = sound.requests.size();

        for (int request = 0; request < REQUESTS; request++) {
            assertEquals(200, cluster.request(0, "r-" + request, "x"), kind);
        }

        assertEquals(before + REQUESTS, sound.requests.size(), "requests at the sound endpoint");
        assertEquals(0, odd.requests.size(), "requests at the odd one");
        configure(2);
    }
}
