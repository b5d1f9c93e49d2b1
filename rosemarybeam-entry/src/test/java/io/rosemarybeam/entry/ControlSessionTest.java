package io.rosemarybeam.entry;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.common.wire.ControlReply.EntryState;
import io.rosemarybeam.common.wire.EntryRequest.RenewEntryLease;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an entry that serves without a lease, stays with a former or unreachable leader, or applies an older
 * state or configuration.
 */
class ControlSessionTest {
    private EntryHarness harness;

    @BeforeEach
    void start() throws Exception {
        harness = new EntryHarness(3);
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    private int status(EntryHarness.Entry entry) {
        return harness.get(entry, "/services/workshop-app/page").statusCode();
    }

    private void setLeader(int host) {
        synchronized (harness.state) {
            harness.state.leader = Optional.of(harness.controls.get(host).address());
        }
    }

    private boolean renewedAt(int host) {
        return harness.controls.get(host).received.stream().anyMatch(RenewEntryLease.class::isInstance);
    }

    private EntryHarness.Entry startServingEntry() throws Exception {
        EntryHarness.Entry entry = harness.startReadyEntry("entry-1", "amman-a");
        ScriptedEndpoint endpoint = harness.startEndpoint(call -> call.respond(200, "page"));
        EntryHarness.await(() ->
                harness.announce(entry, "a", "workshop-app", endpoint.url()).statusCode() == 200);
        assertEquals(200, status(entry));
        return entry;
    }

    @Test
    void shouldFollowLeaderWhenItChanges() throws Exception {
        setLeader(0);
        EntryHarness.Entry entry = startServingEntry();
        setLeader(2);
        EntryHarness.await(() -> renewedAt(2));
        assertEquals(200, status(entry));
    }

    // A malformed leader address must fail like a refused connection, and must not stop the session.
    @Test
    void shouldTryOtherHostsWhenReportedLeaderHasNoUsableAddress() throws Exception {
        synchronized (harness.state) {
            harness.state.leader = Optional.of("nowhere");
        }
        EntryHarness.Entry entry = harness.startEntry("entry-1", "amman-a");
        EntryHarness.await(() -> renewedAt(0) || renewedAt(1) || renewedAt(2));
        Thread.sleep(300);
        setLeader(1);
        EntryHarness.await(() -> harness.get(entry, "/v1/addresses").statusCode() == 200);
    }

    @Test
    void shouldSwitchControlHostWhenLeaderStopsAnswering() throws Exception {
        setLeader(1);
        EntryHarness.Entry entry = startServingEntry();
        harness.controls.get(1).setSilent(true);
        setLeader(2);
        EntryHarness.await(() -> renewedAt(2));
        EntryHarness.await(() -> status(entry) == 200);
    }

    @Test
    void shouldSwitchControlHostWhenLeaderHostIsDown() throws Exception {
        setLeader(1);
        EntryHarness.Entry entry = startServingEntry();
        harness.controls.get(1).close();
        setLeader(0);
        EntryHarness.await(() -> renewedAt(0));
        EntryHarness.await(() -> status(entry) == 200);
    }

    @Test
    void shouldRefuseAsNotRunWhenLeaseLapses() throws Exception {
        harness.state.leaseMilliseconds = 1_500;
        EntryHarness.Entry entry = startServingEntry();
        harness.controls.forEach(control -> control.setSilent(true));
        EntryHarness.await(() -> status(entry) == 503);
        HttpResponse<String> refused = harness.get(entry, "/services/workshop-app/page");
        Map<?, ?> problem = EntryHarness.json(refused.body());
        assertEquals("LEASE_LAPSED", problem.get("code"));
        assertEquals("not-run", problem.get("run"));
        assertTrue(refused.headers().firstValue("retry-after").isPresent());
        harness.controls.forEach(control -> control.setSilent(false));
        EntryHarness.await(() -> status(entry) == 200);
    }

    @Test
    void shouldRefuseRequestsWhenNoLeaseWasEverGranted() throws Exception {
        harness.controls.forEach(control -> control.setSilent(true));
        EntryHarness.Entry entry = harness.startEntry("entry-1", "amman-a");
        assertEquals(503, harness.get(entry, "/v1/addresses").statusCode());
        HttpResponse<String> refused = harness.get(entry, "/services/workshop-app/page");
        assertEquals("not-run", EntryHarness.json(refused.body()).get("run"));
        assertEquals(
                503,
                harness.announce(entry, "a", "workshop-app", "http://127.0.0.1:1")
                        .statusCode());
    }

    private static EntryState state(long term, long number, String text) {
        return new EntryState(
                term,
                Optional.of(new ConfigurationText(number, text)),
                Optional.empty(),
                Map.of(),
                List.of(),
                Map.of());
    }

    private long configurationNumber(EntryHarness.Entry entry) throws Exception {
        return Json.MAPPER
                .readTree(entry.process().dump().get())
                .path("configurationNumber")
                .asLong();
    }

    @Test
    void shouldIgnoreStateWhenTermOrNumberIsOlder() throws Exception {
        setLeader(0);
        harness.state.leaderTerm = 5;
        EntryHarness.Entry entry = startServingEntry();
        String text = EntryHarness.CONFIGURATION;
        harness.controls.getFirst().push(state(5, 3, text.replace("\"number\": 1", "\"number\": 3")));
        EntryHarness.await(() -> {
            try {
                return configurationNumber(entry) == 3;
            } catch (Exception failure) {
                throw new IllegalStateException(failure);
            }
        });
        harness.controls.getFirst().push(state(5, 2, text.replace("\"number\": 1", "\"number\": 2")));
        harness.controls.getFirst().push(state(4, 9, text.replace("\"number\": 1", "\"number\": 9")));
        Thread.sleep(300);
        assertEquals(3, configurationNumber(entry));
    }
}
