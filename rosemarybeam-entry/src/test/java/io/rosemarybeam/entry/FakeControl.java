package io.rosemarybeam.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.CommonReply.Accepted;
import io.rosemarybeam.common.wire.CommonReply.NotLeader;
import io.rosemarybeam.common.wire.ControlReply.ClaimReply;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.common.wire.ControlReply.EntryLease;
import io.rosemarybeam.common.wire.ControlReply.EntryState;
import io.rosemarybeam.common.wire.ControlReply.PushState;
import io.rosemarybeam.common.wire.ControlReply.QuarantineState;
import io.rosemarybeam.common.wire.ControlReply.StepState;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.Secrets;
import io.rosemarybeam.common.wire.StepRecords.StepSnapshot;
import io.rosemarybeam.common.wire.StepRecords.StepSpecification;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;

/** A control host whose state and failures a test sets. The shared state is guarded by its own monitor. */
final class FakeControl implements MessageHandler, AutoCloseable {
    static final String SECRET = "cluster-secret-for-tests";

    /** The state that several control hosts of one test share. Guarded by its monitor. */
    static final class State {
        final Map<String, EndpointRecord> endpoints = new LinkedHashMap<>();
        final Map<String, EntryHostRecord> entries = new LinkedHashMap<>();
        final Map<String, StepSnapshot> steps = new LinkedHashMap<>();
        final Map<String, EntryRequest.RecordOutcome> outcomes = new LinkedHashMap<>();
        final Map<String, Integer> shares = Map.of("brailler-lm", 1_000, "workshop-app", 1_000);
        long version = 1;
        long leaderTerm = 1;
        long leaseMilliseconds = 3_000;
        Optional<ConfigurationText> configuration = Optional.empty();
        Optional<String> leader = Optional.empty();
    }

    final List<Message> received = new CopyOnWriteArrayList<>();
    private final List<WireConnection> connections = new CopyOnWriteArrayList<>();
    private final State state;
    private final Channel channel;
    private volatile boolean silent;

    FakeControl(EventLoopGroup eventLoops, State state) {
        this.state = state;
        this.channel = WireTransport.of(eventLoops, WireSettings.standard())
                .listen("127.0.0.1:0", "control", new Secrets(SECRET, Optional.empty()), this);
    }

    String address() {
        return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
    }

    void setSilent(boolean value) {
        silent = value;
    }

    void push(EntryState pushed) {
        connections.forEach(connection -> connection.send(new PushState(pushed)));
    }

    @Override
    public void onOpen(WireConnection connection) {
        connections.add(connection);
    }

    @Override
    public void onClose(WireConnection connection) {
        connections.remove(connection);
    }

    @Override
    public void onMessage(WireConnection connection, long correlation, Message message) {
        received.add(message);
        if (silent) {
            return;
        }
        synchronized (state) {
            if (state.leader.isPresent() && !state.leader.get().equals(address())) {
                connection.reply(correlation, new NotLeader(Optional.of("other"), state.leader));
                return;
            }
            connection.reply(correlation, answer((EntryRequest) message));
        }
    }

    private Message answer(EntryRequest request) {
        return switch (request) {
            case EntryRequest.RenewEntryLease renew -> renewLease(renew);
            case EntryRequest.AnnounceEndpoint announce -> {
                state.endpoints.put(announce.endpoint().id().value(), announce.endpoint());
                state.version++;
                yield new Accepted(1);
            }
            case EntryRequest.ClaimRequest claim -> {
                EntryRequest.RecordOutcome known =
                        state.outcomes.get(claim.key().value());
                yield known == null
                        ? new ClaimReply(ClaimState.GRANTED, Optional.empty())
                        : new ClaimReply(ClaimState.COMPLETED, known.outcome());
            }
            case EntryRequest.RecordOutcome record -> {
                state.outcomes.put(record.key().value(), record);
                yield new Accepted(1);
            }
            case EntryRequest.ReportCrash report -> new QuarantineState(List.of(), report.batch());
            case EntryRequest.OpenStep open -> openStep(open.specification(), open.entry());
            case EntryRequest.TakeStep take -> takeStep(take);
            default -> new Accepted(1);
        };
    }

    private Message renewLease(EntryRequest.RenewEntryLease renew) {
        if (!renew.entry().equals(state.entries.put(renew.entry().name().value(), renew.entry()))) {
            state.version++;
        }
        Optional<ConfigurationText> newer = state.configuration.filter(text -> text.number() > renew.appliedRevision());
        Optional<MembershipDelta> full = renew.membershipVersion() == state.version
                ? Optional.empty()
                : Optional.of(new MembershipDelta(
                        0,
                        state.version,
                        new ArrayList<>(state.endpoints.values()),
                        List.of(),
                        new ArrayList<>(state.entries.values()),
                        List.of()));
        return new EntryLease(
                state.leaseMilliseconds,
                new EntryState(state.leaderTerm, newer, full, state.shares, List.of(), Map.of()));
    }

    private Message openStep(StepSpecification specification, HostName entry) {
        String key = specification.trainer() + "/" + specification.step();
        state.steps.putIfAbsent(
                key,
                new StepSnapshot(
                        specification, Optional.of(entry), 1, List.of(), List.of(), specification.trainerVersion()));
        return new StepState(state.steps.get(key));
    }

    private Message takeStep(EntryRequest.TakeStep take) {
        String key = take.trainer() + "/" + take.step();
        StepSnapshot known = state.steps.get(key);
        boolean alive = known.owner()
                .map(owner -> state.entries.containsKey(owner.value()))
                .orElse(false);
        if (!alive && take.takeOver()) {
            known = new StepSnapshot(
                    known.specification(),
                    Optional.of(take.entry()),
                    known.ownerEpoch() + 1,
                    known.committed(),
                    known.handOvers(),
                    known.trainerVersion());
            state.steps.put(key, known);
        }
        return new StepState(known);
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        connections.forEach(WireConnection::close);
    }
}
