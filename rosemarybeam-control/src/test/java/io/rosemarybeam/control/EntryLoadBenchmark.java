package io.rosemarybeam.control;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.ControlReply.EntryLease;
import io.rosemarybeam.common.wire.ControlReply.EntryState;
import io.rosemarybeam.common.wire.ControlReply.PushState;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.EntryRequest;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;

/**
 * Load generator that renews the leases of many entries once a second at a running leader. Started by hand while
 * control processes run; their metrics show the cost. Arguments: address of the leader, file with the cluster secret,
 * number of entries, number of endpoints, duration in seconds.
 */
final class EntryLoadBenchmark {
    private final List<Entry> entries = new ArrayList<>();
    private final AtomicLong renewed = new AtomicLong();
    private final AtomicLong pushes = new AtomicLong();

    public static void main(String[] arguments) throws Exception {
        int entries = Integer.parseInt(arguments[2]);
        int endpoints = Integer.parseInt(arguments[3]);
        String secret = Files.readString(Path.of(arguments[1])).strip();
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        EntryLoadBenchmark benchmark = new EntryLoadBenchmark();
        WireTransport transport = WireTransport.of(loops, WireSettings.standard());
        for (int number = 0; number < entries; number++) {
            Entry entry = benchmark.new Entry(number, (endpoints + entries - 1 - number) / entries);
            benchmark.entries.add(entry);
            Credentials credentials = new Credentials(Role.ENTRY, entry.name(), 1, secret);
            entry.connection = transport
                    .connect(arguments[0], credentials, entry::onMessage)
                    .get(5, TimeUnit.SECONDS);
        }
        benchmark.entries.forEach(Entry::announce);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Long.parseLong(arguments[4]));
        while (System.nanoTime() < end) {
            long start = System.nanoTime();
            for (Entry entry : benchmark.entries) {
                entry.renew();
                Thread.sleep(Duration.ofNanos(900_000_000L / entries));
            }
            Thread.sleep(Duration.ofNanos(Math.max(0, 1_000_000_000L - (System.nanoTime() - start))));
        }
        System.out.printf("%d renewals answered, %d pushes%n", benchmark.renewed.get(), benchmark.pushes.get());
        loops.shutdownGracefully();
    }

    /** An entry that announces endpoints and renews its lease. Confined to the main thread and the event loop. */
    private final class Entry {
        private final int number;
        private final int endpoints;
        private WireConnection connection;
        private volatile long revision;
        private volatile long membership;

        Entry(int number, int endpoints) {
            this.number = number;
            this.endpoints = endpoints;
        }

        String name() {
            return "entry-" + number;
        }

        void announce() {
            for (int index = 0; index < endpoints; index++) {
                connection.request(new EntryRequest.AnnounceEndpoint(endpoint(index)), Duration.ofSeconds(5));
            }
        }

        private EndpointRecord endpoint(int index) {
            return new EndpointRecord(
                    EndpointId.of("endpoint-" + number + "-" + index),
                    1,
                    ServiceName.of("brailler-lm"),
                    "http://127.0.0.1:9001",
                    FailureDomain.of("amman-a"),
                    8,
                    true,
                    true,
                    true,
                    true,
                    Optional.empty(),
                    false);
        }

        void renew() {
            List<EntryRequest.EndpointRenewal> renewals = new ArrayList<>();
            for (int index = 0; index < endpoints; index++) {
                renewals.add(new EntryRequest.EndpointRenewal(endpoint(index).id(), 1, Optional.empty()));
            }
            EntryHostRecord record = new EntryHostRecord(
                    HostName.of(name()), 1, "127.0.0.1:8001", "127.0.0.1:8101", FailureDomain.of("amman-a"), false);
            connection
                    .request(
                            new EntryRequest.RenewEntryLease(
                                    record, revision, 0, membership, renewals, Map.of("brailler-lm", 3), Map.of()),
                            Duration.ofSeconds(2))
                    .thenAccept(reply -> {
                        if (reply instanceof EntryLease lease) {
                            renewed.incrementAndGet();
                            applyState(lease.state());
                        }
                    });
        }

        void onMessage(WireConnection from, long correlation, Message message) {
            if (message instanceof PushState push) {
                pushes.incrementAndGet();
                applyState(push.state());
            }
        }

        private void applyState(EntryState state) {
            state.configuration().ifPresent(text -> revision = text.number());
            state.membership().ifPresent(delta -> membership = delta.toVersion());
        }
    }
}
