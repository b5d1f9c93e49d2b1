package io.rosemarybeam.control;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.id.ConfigurationNumber;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.StepId;
import io.rosemarybeam.common.id.TrainerName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.ApplyReply;
import io.rosemarybeam.common.wire.ControlReply.EntryLease;
import io.rosemarybeam.common.wire.ControlReply.IssuerHeld;
import io.rosemarybeam.common.wire.ControlReply.IssuerLease;
import io.rosemarybeam.common.wire.ControlReply.PushState;
import io.rosemarybeam.common.wire.ControlReply.StepState;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.OperatorRequest;
import io.rosemarybeam.common.wire.StepRecords.GroupSpecification;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.consensus.DurableState;
import io.rosemarybeam.consensus.HardState;
import io.rosemarybeam.consensus.LogMessage.Envelope;
import io.rosemarybeam.consensus.LogOptions;
import io.rosemarybeam.consensus.LogSnapshot;
import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import io.rosemarybeam.consensus.ReplicatedLog;
import io.rosemarybeam.consensus.storage.FileSystem;
import io.rosemarybeam.consensus.storage.LogStorage;
import io.rosemarybeam.control.state.ControlState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against leases that end before their holder stops using them or never end, also when the leader changes. A
 * leader runs on a log with a single member, and the test moves its clock.
 */
class LeaderTest {
    private static final ServiceName SERVICE = ServiceName.of("brailler-lm");
    private static final EndpointId ENDPOINT = EndpointId.of("endpoint-1");
    private static final TrainerName TRAINER = TrainerName.of("trainer-a");
    private static final StepId STEP = StepId.of("step-1");

    @TempDir
    private Path folder;

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final ControlState state = new ControlState();
    private final CurrentConfiguration configuration = new CurrentConfiguration(new FakeParser(), List.of());
    private final FakeConnection connection = new FakeConnection();
    private long now = 1_000_000;
    private LogStorage storage;
    private LogDriver driver;
    private Leader leader;

    @BeforeEach
    void electLeader() {
        storage = LogStorage.open(FileSystem.of(folder));
        MemberId self = new MemberId("control-1", 1);
        Membership selfOnly = new Membership(List.of(new Member(self, "127.0.0.1:7401")), List.of());
        LogSnapshot first = new LogSnapshot(1, 1, selfOnly, new byte[0]);
        HardState hardState = new HardState(1, Optional.empty());
        storage.persist(Optional.of(hardState), Optional.of(first), List.of());
        DurableState durable = new DurableState(hardState, Optional.of(first), List.of());
        ReplicatedLog log = new ReplicatedLog(LogOptions.standard(1), self, durable);
        driver = new LogDriver(
                tasks::add,
                Runnable::run,
                task -> Thread.ofPlatform().daemon().start(task),
                () -> now,
                storage,
                log,
                Optional.of(first),
                state,
                new Listener());
        for (int tick = 0; tick < 30; tick++) {
            driver.tick();
            runTasks();
        }
        replaceLeader();
    }

    @AfterEach
    void close() {
        storage.close();
    }

    private void replaceLeader() {
        leader = new Leader(driver, state, configuration, new LeaderClock(() -> now, state.leaderTime()));
    }

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    private void advanceTime(long milliseconds) {
        now += milliseconds;
        leader.tick();
        for (int tick = 0; tick < 3; tick++) {
            driver.tick();
            runTasks();
        }
    }

    private CompletableFuture<Message> submit(EntryRequest request) {
        CompletableFuture<Message> reply = leader.handle(connection, request);
        advanceTime(0);
        return reply;
    }

    private Message request(EntryRequest request) {
        return submit(request).join();
    }

    private EntryLease renew(String name, long revision) {
        EntryHostRecord record =
                new EntryHostRecord(HostName.of(name), 1, "127.0.0.1:1", "127.0.0.1:2", FailureDomain.of("fes"), false);
        return (EntryLease) request(new EntryRequest.RenewEntryLease(
                record,
                revision,
                0,
                0,
                List.of(new EntryRequest.EndpointRenewal(ENDPOINT, 1, Optional.of(WeightVersion.of(4)))),
                Map.of()));
    }

    private void announce() {
        request(new EntryRequest.AnnounceEndpoint(new EndpointRecord(
                ENDPOINT,
                1,
                SERVICE,
                "http://127.0.0.1:9001",
                FailureDomain.of("fes"),
                4,
                true,
                true,
                true,
                false,
                Optional.empty(),
                false)));
    }

    @Test
    void shouldRemoveEndpointOnlyWhenItsLeaseLapsed() {
        announce();
        advanceTime(5_000);
        renew("entry-1", 0);
        assertEquals(
                Optional.of(WeightVersion.of(4)),
                state.endpoints().find(ENDPOINT, 1).orElseThrow().weightVersion());
        advanceTime(5_499);
        assertTrue(state.endpoints().find(ENDPOINT, 1).isPresent());
        advanceTime(200);
        assertFalse(state.endpoints().find(ENDPOINT, 1).isPresent());
    }

    // A new leader does not know the renewals of the former one; it must not remove an endpoint whose lease is live.
    @Test
    void shouldAssumeFullLeasesWhenLeaderIsNew() {
        announce();
        advanceTime(5_400);
        replaceLeader();
        advanceTime(5_400);
        assertTrue(state.endpoints().find(ENDPOINT, 1).isPresent());
        advanceTime(200);
        assertFalse(state.endpoints().find(ENDPOINT, 1).isPresent());
    }

    @Test
    void shouldRemoveEntryHostWhenItStopsRenewing() {
        renew("entry-1", 0);
        advanceTime(63_400);
        assertEquals(1, state.entryHosts().all().size());
        advanceTime(300);
        assertEquals(0, state.entryHosts().all().size());
    }

    @Test
    void shouldGrantIssuerToAnotherOnlyWhenLeaseLapsed() {
        IssuerLease first = (IssuerLease) request(new EntryRequest.AcquireIssuer(SERVICE, HostName.of("entry-1"), 1));
        advanceTime(5_400);
        replaceLeader();
        advanceTime(5_400);
        EntryRequest other = new EntryRequest.AcquireIssuer(SERVICE, HostName.of("entry-2"), 1);
        assertInstanceOf(IssuerHeld.class, request(other));
        advanceTime(200);
        IssuerLease second = (IssuerLease) request(other);

        assertTrue(second.fencingNumber().compareTo(first.fencingNumber()) > 0);
        assertInstanceOf(IssuerHeld.class, request(new EntryRequest.AcquireIssuer(SERVICE, HostName.of("entry-1"), 1)));
    }

    @Test
    void shouldTransferStepOnlyWhenLeaseOfOwnerLapsed() {
        renew("entry-1", 0);
        StepSpecification specification = new StepSpecification(
                TRAINER, STEP, SERVICE, WeightVersion.of(1), List.of(new GroupSpecification("p", 2, 8)));
        request(new EntryRequest.OpenStep(HostName.of("entry-1"), specification));
        EntryRequest take = new EntryRequest.TakeStep(TRAINER, STEP, HostName.of("entry-2"), true);
        advanceTime(3_400);

        assertEquals(1, ((StepState) request(take)).snapshot().ownerEpoch());
        advanceTime(200);
        assertEquals(2, ((StepState) request(take)).snapshot().ownerEpoch());
    }

    // An entry that never reports the new configuration must delay the reply only until its lease lapses.
    @Test
    void shouldBeInForceWhenEntryWithOlderConfigurationLapsed() {
        renew("entry-1", 0);
        renew("entry-2", 0);
        CompletableFuture<Message> applied = leader.handle(
                new OperatorRequest.ApplyConfiguration("7", "operator", 10_000), new StatusReport(driver, state));
        advanceTime(0);
        assertTrue(connection.sent.stream()
                .anyMatch(message -> message instanceof PushState push
                        && push.state().configuration().isPresent()));
        renew("entry-1", 7);
        advanceTime(3_400);
        assertFalse(applied.isDone());
        advanceTime(200);

        ApplyReply reply = (ApplyReply) applied.join();
        assertTrue(reply.inForce());
        assertEquals(7, reply.number());
    }

    // Claims expire only while commands are applied, so the leader must propose one when no request arrives.
    @Test
    void shouldResolveClaimWhenNoRequestArrives() {
        request(new EntryRequest.ClaimRequest(
                SERVICE, IdempotencyKey.of("k"), Fingerprint.of("f"), HostName.of("entry-1"), 1, 100, 200));
        long before = state.leaderTime();
        advanceTime(700);
        advanceTime(200);

        assertEquals(before + 900, state.leaderTime());
        assertTrue(state.claims().nextExpiry() > state.leaderTime());
    }

    // Guards against a log that grows without bound, and against a snapshot that lacks applied commands.
    @Test
    void shouldDiscardOldLogEntriesWhenSnapshotIsStored() {
        // The first snapshot waits after a start, and no threshold is higher than one and a half of the mean.
        now += 2 * SnapshotSchedule.FIRST_SNAPSHOT_DELAY_MILLISECONDS;
        int claims = SnapshotSchedule.MEAN_ENTRIES * 3 / 2 + 100;
        for (int number = 0; number < claims; number++) {
            leader.handle(
                    connection,
                    new EntryRequest.ClaimRequest(
                            SERVICE,
                            IdempotencyKey.of("k" + number),
                            Fingerprint.of("f"),
                            HostName.of("entry-1"),
                            1,
                            100,
                            200));
        }
        runTasks();
        TestCluster.await("old log entries are discarded", () -> {
            runTasks();
            return driver.log().retainedEntries() < 2_000;
        });

        ControlState restored = new ControlState();
        restored.restore(storage.load().snapshot().orElseThrow().state());
        assertEquals(claims, restored.claims().size());
    }

    /** Parses texts that consist of a configuration number only. Immutable. */
    private static final class FakeParser implements ConfigurationParser {
        @Override
        public Result parse(String text) {
            return new Result.Valid(new OperatorConfiguration(
                    ConfigurationNumber.of(Long.parseLong(text)), List.of(), Set.of(), Set.of(), Map.of(), Map.of()));
        }
    }

    /** Connects the driver with the leader under test. Confined to the thread of the test. */
    private final class Listener implements LogDriver.Listener {
        @Override
        public void send(Envelope envelope) {}

        @Override
        public void onApplied() {
            boolean newConfiguration = configuration.refresh(state.configurations());
            if (leader != null) {
                leader.onCommandsApplied(newConfiguration);
            }
        }

        @Override
        public void onLeadershipAcquired() {}

        @Override
        public void onLeadershipLost() {}

        @Override
        public void onFailure(Throwable failure) {
            throw new AssertionError(failure);
        }
    }

    /** Records sent messages. Confined to the thread of the test. */
    private static final class FakeConnection implements WireConnection {
        private final List<Message> sent = new ArrayList<>();

        @Override
        public Role remoteRole() {
            return Role.ENTRY;
        }

        @Override
        public String remoteName() {
            return "entry-1";
        }

        @Override
        public long remoteIncarnation() {
            return 1;
        }

        @Override
        public CompletableFuture<Message> request(Message message, Duration deadline) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void send(Message message) {
            sent.add(message);
        }

        @Override
        public void reply(long correlation, Message message) {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {}
    }
}
