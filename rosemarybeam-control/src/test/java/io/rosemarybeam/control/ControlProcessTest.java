package io.rosemarybeam.control;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.CommonReply.Accepted;
import io.rosemarybeam.common.wire.ControlReply.ApplyOutcome;
import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.common.wire.ControlReply.ClaimReply;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationReply;
import io.rosemarybeam.common.wire.ControlReply.EntryLease;
import io.rosemarybeam.common.wire.ControlReply.IssuerHeld;
import io.rosemarybeam.common.wire.ControlReply.IssuerLease;
import io.rosemarybeam.common.wire.ControlReply.PushState;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.OperatorRequest;
import io.rosemarybeam.common.wire.RequestOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Runs complete control processes over loopback. Guards against acknowledged changes that are lost, claims and issuers
 * that are granted twice when the leader is replaced, and control hosts that cannot be replaced.
 */
class ControlProcessTest {
    private static final ServiceName SERVICE = ServiceName.of("workshop-app");
    private static final HostName ENTRY = HostName.of("entry-1");

    @TempDir
    private Path folder;

    private static EntryRequest.RenewEntryLease renewal(long revision, long membership, Map<String, Integer> held) {
        EntryHostRecord record =
                new EntryHostRecord(ENTRY, 1, "127.0.0.1:8001", "127.0.0.1:8101", FailureDomain.of("amman-a"), false);
        return new EntryRequest.RenewEntryLease(record, revision, 0, membership, List.of(), Map.of(), held);
    }

    private static EndpointRecord endpoint(long incarnation) {
        return new EndpointRecord(
                EndpointId.of("endpoint-1"),
                incarnation,
                SERVICE,
                "http://127.0.0.1:9001",
                FailureDomain.of("amman-a"),
                4,
                true,
                true,
                true,
                false,
                Optional.empty(),
                false);
    }

    // A single control host must form a majority by itself, serve entries, and push changes without a request.
    @Test
    void shouldServeEntryWhenStartedAlone() {
        try (TestCluster cluster = new TestCluster(folder, 1)) {
            cluster.startAll();
            TestCluster.Client operator = cluster.client(Role.OPERATOR, "operator");
            TestCluster.Client entry = cluster.client(Role.ENTRY, "entry-1");

            ApplyReply applied = operator.apply(cluster.configurationText(1, cluster.names(), 10), 0);
            EntryLease lease = entry.request(renewal(0, 0, Map.of()), EntryLease.class);
            entry.request(new EntryRequest.AnnounceEndpoint(endpoint(1)), Accepted.class);
            TestCluster.await(
                    "membership is pushed",
                    () -> entry.pushed().stream()
                            .anyMatch(message -> message instanceof PushState push
                                    && push.state().membership().isPresent()
                                    && !push.state()
                                            .membership()
                                            .get()
                                            .endpoints()
                                            .isEmpty()));

            assertEquals(ApplyOutcome.ACCEPTED, applied.outcome());
            assertEquals(3_000, lease.leaseMilliseconds());
            assertEquals(1, lease.state().configuration().orElseThrow().number());
            assertEquals(Map.of("workshop-app", 10), lease.state().limitShares());
        }
    }

    @Test
    void shouldGrantClaimAndIssuerOnceWhenLeaderIsReplaced() {
        try (TestCluster cluster = new TestCluster(folder, 3)) {
            cluster.startAll();
            TestCluster.Client entry = cluster.client(Role.ENTRY, "entry-1");
            entry.request(renewal(0, 0, Map.of()), EntryLease.class);
            EntryRequest.ClaimRequest claim = new EntryRequest.ClaimRequest(
                    SERVICE, IdempotencyKey.of("order-1"), Fingerprint.of("f"), ENTRY, 1, 5_000, 30_000);
            TestCluster.await("three voters", () -> cluster.votersAre(cluster.names()));

            ClaimState first = entry.request(claim, ClaimReply.class).state();
            assertInstanceOf(IssuerLease.class, entry.request(new EntryRequest.AcquireIssuer(SERVICE, ENTRY, 1)));
            cluster.stop(cluster.leader().orElseThrow());
            ClaimState second = entry.request(claim, ClaimReply.class).state();
            RequestOutcome outcome = new RequestOutcome(201, Map.of(), new byte[] {1}, false);
            entry.request(
                    new EntryRequest.RecordOutcome(SERVICE, claim.key(), ENTRY, 1, Optional.of(outcome)),
                    Accepted.class);
            ClaimReply third = entry.request(claim, ClaimReply.class);

            assertEquals(ClaimState.GRANTED, first);
            assertEquals(ClaimState.IN_PROGRESS, second);
            assertEquals(ClaimState.COMPLETED, third.state());
            assertEquals(201, third.outcome().orElseThrow().status());
            assertInstanceOf(
                    IssuerHeld.class,
                    entry.request(new EntryRequest.AcquireIssuer(SERVICE, HostName.of("entry-2"), 1)));
        }
    }

    @Test
    void shouldReportConfigurationInForceWhenEveryLeasedEntryAppliedIt() {
        try (TestCluster cluster = new TestCluster(folder, 1)) {
            cluster.startAll();
            TestCluster.Client operator = cluster.client(Role.OPERATOR, "operator");
            TestCluster.Client entry = cluster.client(Role.ENTRY, "entry-1");
            entry.request(renewal(0, 0, Map.of()), EntryLease.class);
            String text = cluster.configurationText(7, cluster.names(), 10);

            ApplyReply accepted = operator.apply(text, 0);
            entry.request(renewal(7, 0, Map.of()), EntryLease.class);
            ApplyReply resent = operator.apply(text, 2_000);
            ApplyReply conflict = operator.apply(cluster.configurationText(7, cluster.names(), 11), 0);
            ApplyReply low = operator.apply(cluster.configurationText(6, cluster.names(), 10), 0);
            ApplyReply invalid = operator.apply("{\"number\": 8, \"unknown\": 1}", 0);

            assertFalse(accepted.inForce());
            assertEquals(List.of(ENTRY), accepted.pendingEntries());
            assertEquals(ApplyOutcome.RESENT, resent.outcome());
            assertTrue(resent.inForce());
            assertEquals(ApplyOutcome.CONFLICT, conflict.outcome());
            assertEquals(Optional.of(text), conflict.winner());
            assertEquals(ApplyOutcome.NUMBER_TOO_LOW, low.outcome());
            assertEquals(ApplyOutcome.INVALID, invalid.outcome());
        }
    }

    // Every host in turn loses its disk and returns with a new incarnation. A change that only one disk held, or an old
    // incarnation that still counts as a voter, would lose the configuration or the majority.
    @Test
    void shouldRetainChangesWhenDisksAreLostOneAfterAnother() {
        try (TestCluster cluster = new TestCluster(folder, 3)) {
            cluster.startAll();
            TestCluster.Client operator = cluster.client(Role.OPERATOR, "operator");
            operator.apply(cluster.configurationText(1, cluster.names(), 10), 0);
            TestCluster.await("three voters", () -> cluster.votersAre(cluster.names()));

            for (String lost : cluster.names()) {
                Optional<String> before = cluster.voterIncarnation(lost);
                cluster.stop(lost);
                cluster.wipe(lost);
                cluster.start(lost);
                TestCluster.await(
                        "new incarnation of " + lost + " is a voter",
                        () -> cluster.voterIncarnation(lost)
                                .filter(voting -> !Optional.of(voting).equals(before))
                                .isPresent());
                TestCluster.await(
                        lost + " has the configuration and all hosts are voters",
                        () -> cluster.leader().isPresent()
                                && cluster.votersAre(cluster.names())
                                && cluster.dump(lost).contains("\"configuration\" : 1"));
                TestCluster.sleep(300);
                TestCluster.await("membership is stable", () -> cluster.votersAre(cluster.names()));
            }

            ConfigurationReply read =
                    operator.request(new OperatorRequest.ReadConfiguration(), ConfigurationReply.class);
            assertEquals(1, read.configuration().orElseThrow().number());
        }
    }

    @Test
    void shouldReplaceControlHostWhenConfigurationListsAnother() {
        try (TestCluster cluster = new TestCluster(folder, 3)) {
            cluster.startAll();
            TestCluster.Client operator = cluster.client(Role.OPERATOR, "operator");
            List<String> before = cluster.names();
            operator.apply(cluster.configurationText(1, before, 10), 0);
            TestCluster.await("three voters", () -> cluster.votersAre(before));
            cluster.addHost("control-4");
            cluster.start("control-4");
            List<String> after = List.of("control-2", "control-3", "control-4");

            operator.apply(cluster.configurationText(2, after, 10), 0);

            TestCluster.await("control-1 is replaced", () -> cluster.votersAre(after));
            ConfigurationReply read =
                    operator.request(new OperatorRequest.ReadConfiguration(), ConfigurationReply.class);
            assertEquals(2, read.configuration().orElseThrow().number());
        }
    }
}
