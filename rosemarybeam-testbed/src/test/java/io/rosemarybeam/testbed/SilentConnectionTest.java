package io.rosemarybeam.testbed;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.asynchttpclient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an entry that loses its lease because its connection to the control host stopped carrying data although new
 * connections work, and against an entry that continues to serve without a lease when no connection works.
 */
class SilentConnectionTest {
    private static final long LEASE_MILLISECONDS = 3_000;
    private static final int SILENCED_CONNECTIONS = 3;

    @TempDir
    Path folder;

    private Deployment deployment;
    private SilentProxy proxy;

    @BeforeEach
    void start() {
        deployment = new Deployment(folder, 1);
        String control = deployment.controlAddresses().getFirst();
        proxy = new SilentProxy(
                deployment.eventLoops(), Integer.parseInt(control.substring(control.lastIndexOf(':') + 1)));
        deployment.setEntryControlAddresses(List.of(proxy.address()));
        deployment.startEntry(0);
        deployment.apply(deployment.configurationText(1, 256), Duration.ofSeconds(20));
        deployment.startEndpoints(2, 1);
        assertTrue(Deployment.waitUntil(Duration.ofSeconds(20), () -> completionStatus() == 200));
    }

    @AfterEach
    void stop() {
        proxy.close();
        deployment.close();
    }

    private Response complete() {
        return deployment
                .client()
                .preparePost("http://" + deployment.entryAddresses().getFirst() + "/v1/completions")
                .setHeader("Content-Type", "application/json")
                .setBody("{\"model\":\"brailler-lm\",\"max_tokens\":8,\"prompt\":\"x\"}")
                .execute()
                .toCompletableFuture()
                .join();
    }

    /** Returns the HTTP status of a completion, or 0 if the entry cannot be reached. */
    private int completionStatus() {
        try {
            return complete().getStatusCode();
        } catch (RuntimeException unreachable) {
            return 0;
        }
    }

    @Test
    void shouldRetainLeaseWhenOpenConnectionToControlGoesSilent() {
        int before = controlConnectionCount();
        for (int round = 0; round < SILENCED_CONNECTIONS; round++) {
            proxy.silenceOpenConnections();
            long end = ModelEngine.nowMilliseconds() + LEASE_MILLISECONDS;
            while (ModelEngine.nowMilliseconds() < end) {
                assertEquals(200, completionStatus());
                Deployment.pause(50);
            }
        }

        String log = deployment.readLog("entry-0");
        assertTrue(controlConnectionCount() >= before + SILENCED_CONNECTIONS, log);
        assertFalse(log.contains("LEASE_LAPSED"), log);
    }

    /** Returns how many connections to the control process the entry has opened. */
    private int controlConnectionCount() {
        return deployment.readLog("entry-0").split("CONTROL_CONNECTED", -1).length - 1;
    }

    @Test
    void shouldRefuseWithNotRunAndServeAgainWhenControlIsUnreachableForSeveralSeconds() {
        proxy.setPartitioned(true);
        assertTrue(Deployment.waitUntil(Duration.ofSeconds(4), () -> completionStatus() == 503));
        Response refused = complete();
        assertTrue(refused.getResponseBody().contains("\"code\":\"LEASE_LAPSED\""), refused.getResponseBody());
        assertTrue(refused.getResponseBody().contains("\"run\":\"not-run\""), refused.getResponseBody());

        proxy.setPartitioned(false);

        assertTrue(Deployment.waitUntil(Duration.ofSeconds(8), () -> completionStatus() == 200));
    }
}
