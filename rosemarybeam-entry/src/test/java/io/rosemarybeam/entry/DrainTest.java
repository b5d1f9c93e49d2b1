package io.rosemarybeam.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a drain that interrupts a request, or that refuses callers who may still hold the address. */
class DrainTest {
    private EntryHarness harness;
    private EntryHarness.Entry first;
    private EntryHarness.Entry second;

    @BeforeEach
    void start() throws Exception {
        harness = new EntryHarness(1);
        first = harness.startReadyEntry("entry-1", "amman-a");
        second = harness.startReadyEntry("entry-2", "amman-b");
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private int status() {
        return harness.get(first, "/services/workshop-app/page").statusCode();
    }

    private void awaitRemovedFromAddresses() throws InterruptedException {
        EntryHarness.await(() -> {
            String addresses = harness.get(second, "/v1/addresses").body();
            return addresses.contains(second.address()) && !addresses.contains(first.address());
        });
    }

    @Test
    void shouldFinishRequestsWhenDrainStarts() throws Exception {
        ScriptedEndpoint endpoint = harness.startEndpoint(call -> {
            if (call.uri().equals("/slow")) {
                call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int part = 0; part < 100; part++) {
                    call.write("1\r\nx\r\n");
                    Thread.sleep(100);
                }
                call.write("0\r\n\r\n");
            } else {
                call.respond(200, "page");
            }
        });
        harness.announce(first, "a", "workshop-app", endpoint.url());
        CompletableFuture<String> slow = CompletableFuture.supplyAsync(
                () -> harness.get(first, "/services/workshop-app/slow").body());
        EntryHarness.await(() -> !endpoint.calls().isEmpty());
        long start = System.nanoTime();
        CompletableFuture<Void> drained = first.process().drain();
        awaitRemovedFromAddresses();
        assertEquals(200, status(), "a caller that still knows the address is served");
        EntryHarness.await(() -> status() == 503);
        long refusedAfter = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertTrue(refusedAfter >= 5_000, "requests were refused after " + refusedAfter + " ms");
        assertFalse(drained.isDone(), "the slow request is still in progress");
        assertEquals("x".repeat(100), slow.get(20, TimeUnit.SECONDS));
        drained.get(5, TimeUnit.SECONDS);
    }

    @Test
    void shouldDrainWhenConfigurationListsHost() throws Exception {
        synchronized (harness.state) {
            harness.state.configuration = Optional.of(new ConfigurationText(
                    2,
                    EntryHarness.CONFIGURATION
                            .replace("\"number\": 1", "\"number\": 2")
                            .replace(
                                    "\"entryHosts\": {\"draining\": []}",
                                    "\"entryHosts\": {\"draining\": [\"entry-1\"]}")));
        }
        awaitRemovedFromAddresses();
        first.process().drained().get(15, TimeUnit.SECONDS);
    }
}
