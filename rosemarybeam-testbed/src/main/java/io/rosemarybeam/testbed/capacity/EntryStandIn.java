package io.rosemarybeam.testbed.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.EntryLease;
import io.rosemarybeam.common.wire.ControlReply.EntryState;
import io.rosemarybeam.common.wire.ControlReply.PushState;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest.AnnounceEndpoint;
import io.rosemarybeam.common.wire.EntryRequest.EndpointRenewal;
import io.rosemarybeam.common.wire.EntryRequest.RenewEntryLease;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.MessageCodec;
import io.rosemarybeam.common.wire.MessageHandler;
import io.rosemarybeam.common.wire.WireConnection;

/**
 * Simulates an entry process towards the control leader: renews its own lease and the leases of its endpoints, and confirms a
 * pushed configuration immediately by another renewal.
 *
 * <p>Invariant: the applied configuration number and the membership version never decrease. Confined to the event loop of its
 * connection, apart from the counters.
 */
final class EntryStandIn implements MessageHandler {
    /** Bytes of a frame ahead of its payload; added to the payload when traffic is counted. */
    static final int FRAME_HEADER_BYTES = 15;

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    private final EntryHostRecord record;
    private final List<Integer> endpoints;
    private final LongAdder bytesSent;
    private final LongAdder bytesReceived;
    private WireConnection connection;
    private volatile long appliedRevision;
    private long leaderTerm;
    private long membershipVersion;

    EntryStandIn(EntryHostRecord record, List<Integer> endpoints, LongAdder bytesSent, LongAdder bytesReceived) {
        this.record = record;
        this.endpoints = List.copyOf(endpoints);
        this.bytesSent = bytesSent;
        this.bytesReceived = bytesReceived;
    }

    void setConnection(WireConnection newConnection) {
        connection = newConnection;
    }

    CompletableFuture<Message> announce(int endpoint) {
        return connection.request(new AnnounceEndpoint(BenchmarkData.endpoint(endpoint)), REQUEST_TIMEOUT);
    }

    void renew() {
        List<EndpointRenewal> renewals = new ArrayList<>();
        for (int endpoint : endpoints) {
            renewals.add(
                    new EndpointRenewal(EndpointId.of("replica-" + endpoint), 1, Optional.of(WeightVersion.of(7))));
        }
        RenewEntryLease request = new RenewEntryLease(
                record, appliedRevision, leaderTerm, membershipVersion, renewals, Map.of("brailler-lm", 8));
        bytesSent.add(FRAME_HEADER_BYTES + MessageCodec.encode(request).length);
        connection.request(request, REQUEST_TIMEOUT).thenAccept(reply -> {
            bytesReceived.add(FRAME_HEADER_BYTES + MessageCodec.encode((Record) reply).length);
            if (reply instanceof EntryLease lease && apply(lease.state())) {
                renew();
            }
        });
    }

    private boolean apply(EntryState state) {
        boolean changed = false;
        leaderTerm = Math.max(leaderTerm, state.leaderTerm());
        if (state.configuration().isPresent() && state.configuration().get().number() > appliedRevision) {
            appliedRevision = state.configuration().get().number();
            changed = true;
        }
        if (state.membership().isPresent()) {
            membershipVersion =
                    Math.max(membershipVersion, state.membership().get().toVersion());
        }
        return changed;
    }

    long appliedRevision() {
        return appliedRevision;
    }

    @Override
    public void onMessage(WireConnection from, long correlation, Message message) {
        if (message instanceof PushState push) {
            bytesReceived.add(FRAME_HEADER_BYTES + MessageCodec.encode(push).length);
            if (apply(push.state())) {
                renew();
            }
        }
    }
}
