package io.rosemarybeam.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.WireTransport;
import io.rosemarybeam.consensus.MemberId;

/**
 * Tells the followers of a leader whose event loop is stalled that its process runs, so that they do not elect another one.
 *
 * <p>A leader that has just been elected or started executes much for the first time and stalls for seconds; its successor would
 * stall in the same way, and each change of leader cancels all runs. The messages are datagrams, because connections belong to
 * the event loop that is stalled. They only postpone an election and confirm nothing, so that a lost, repeated or late one
 * breaks no promise; nothing is sent while the loop keeps up.
 *
 * <p>Invariant: a loop that is stalled for longer than {@link #MAXIMUM_STALL_MILLISECONDS} counts as dead. Safe for use by
 * several threads; the callback runs on the executor.
 */
public final class LeaderKeepAlive implements AutoCloseable {
    /** Stall of the event loop from which the followers are told, in milliseconds: one interval between heartbeats. */
    static final long MINIMUM_STALL_MILLISECONDS = 100;

    /** Stall after which the followers may elect another leader, in milliseconds; a cold start takes less. */
    static final long MAXIMUM_STALL_MILLISECONDS = 2_500;

    /** Maximum length of a datagram in bytes; longer ones are cut and then refused. */
    private static final int MAXIMUM_BYTES = 1_024;

    private static final EventLog LOG = EventLog.of(LeaderKeepAlive.class);

    private final DatagramChannel channel;
    private final KeepAliveMessage.Codec codec;
    private final Executor executor;
    private final Consumer<KeepAliveMessage> onMessage;

    /** What is sent during a stall; empty while this host does not lead. */
    private volatile Optional<Leading> leading = Optional.empty();

    /** The newest message that the executor has not handled yet; older ones say no more than it. */
    private final AtomicReference<KeepAliveMessage> pending = new AtomicReference<>();

    /** A term and the datagram that announces it. Immutable, provided that the array is not changed. */
    private record Leading(long term, List<String> addresses, List<InetSocketAddress> followers, byte[] datagram) {}

    private LeaderKeepAlive(
            DatagramChannel channel,
            KeepAliveMessage.Codec codec,
            Executor executor,
            Consumer<KeepAliveMessage> onMessage) {
        this.channel = channel;
        this.codec = codec;
        this.executor = executor;
        this.onMessage = onMessage;
    }

    /**
     * Binds an address and starts to receive the messages of leaders.
     *
     * @param address IP number and port for datagrams
     * @param secret the cluster secret, which authenticates the messages
     * @param executor runs the callback
     * @param onMessage is told that the leader of a term runs; several messages may be reported as one
     * @return the open instance
     * @throws WireException with {@link ErrorCode#CONNECTION_FAILED} if the address cannot be bound
     */
    public static LeaderKeepAlive open(
            String address, String secret, Executor executor, Consumer<KeepAliveMessage> onMessage) {
        Objects.requireNonNull(executor, "executor");
        Objects.requireNonNull(onMessage, "onMessage");
        try {
            DatagramChannel channel = DatagramChannel.open().bind(WireTransport.parse(address));
            LeaderKeepAlive opened =
                    new LeaderKeepAlive(channel, new KeepAliveMessage.Codec(secret), executor, onMessage);
            Thread.ofPlatform().name("keep-alive").daemon().start(opened::receive);
            return opened;
        } catch (IOException failure) {
            throw new WireException(ErrorCode.CONNECTION_FAILED, "cannot receive datagrams on " + address, failure);
        }
    }

    /**
     * Sets what a stall is to announce; to be called when this host leads, and without effect if nothing has changed.
     *
     * @param self this host
     * @param term the term in which it leads
     * @param addresses IP numbers and ports of the other members
     */
    public void lead(MemberId self, long term, List<String> addresses) {
        boolean isKnown = leading.filter(known -> known.term == term && known.addresses.equals(addresses))
                .isPresent();
        if (!isKnown) {
            List<InetSocketAddress> followers =
                    addresses.stream().map(WireTransport::parse).toList();
            byte[] datagram = codec.encode(new KeepAliveMessage(self, term));
            leading = Optional.of(new Leading(term, List.copyOf(addresses), followers, datagram));
        }
    }

    /** Stops announcing; to be called when this host does not lead. */
    public void follow() {
        leading = Optional.empty();
    }

    /**
     * Tells the followers that this process runs, if the stall is neither short nor so long that the loop counts as dead.
     *
     * @param milliseconds how long the event loop has been stalled
     */
    public void loopIsStalled(long milliseconds) {
        if (milliseconds < MINIMUM_STALL_MILLISECONDS || milliseconds > MAXIMUM_STALL_MILLISECONDS) {
            return;
        }
        leading.ifPresent(announced -> announced.followers.forEach(follower -> send(follower, announced.datagram)));
    }

    private void send(InetSocketAddress follower, byte[] datagram) {
        try {
            channel.send(ByteBuffer.wrap(datagram), follower);
        } catch (IOException failure) {
            LOG.log(Event.KEEP_ALIVE_FAILED, "remote", follower, "reason", failure);
        }
    }

    private void receive() {
        ByteBuffer buffer = ByteBuffer.allocate(MAXIMUM_BYTES);
        while (channel.isOpen()) {
            try {
                buffer.clear();
                channel.receive(buffer);
                buffer.flip();
                byte[] datagram = new byte[buffer.remaining()];
                buffer.get(datagram);
                codec.decode(datagram).ifPresent(this::report);
            } catch (ClosedChannelException | RejectedExecutionException stopping) {
                return;
            } catch (IOException failure) {
                LOG.log(Event.KEEP_ALIVE_FAILED, "remote", "", "reason", failure);
            }
        }
    }

    private void report(KeepAliveMessage message) {
        if (pending.getAndSet(message) == null) {
            executor.execute(() -> onMessage.accept(pending.getAndSet(null)));
        }
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException failure) {
            LOG.log(Event.KEEP_ALIVE_FAILED, "remote", "", "reason", failure);
        }
    }
}
