package io.rosemarybeam.common.wire;

import java.util.List;
import java.util.stream.Stream;

import io.netty.channel.embedded.EmbeddedChannel;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertSame;

/** Guards against a host that encodes the same message again for every host that gets it. */
class BroadcastTest {
    private static final int RECEIVERS = 45;

    @Test
    void shouldEncodeTheMessageOnceWhenManyHostsGetIt() {
        List<EmbeddedChannel> channels =
                Stream.generate(EmbeddedChannel::new).limit(RECEIVERS).toList();
        List<NettyConnection> connections =
                channels.stream().map(BroadcastTest::connection).toList();
        Message message = new CommonReply.DumpReply("status");

        Broadcast.send(connections, message);

        Frame first = channels.getFirst().readOutbound();
        assertNotNull(first);
        assertEquals(message, MessageCodec.decode(first.payload(), CommonReply.DumpReply.class));
        channels.stream().skip(1).forEach(channel -> assertSame(first, channel.readOutbound()));
    }

    private static NettyConnection connection(EmbeddedChannel channel) {
        return new NettyConnection(channel, Role.ENTRY, "edge", 1, (connection, correlation, message) -> {});
    }
}
