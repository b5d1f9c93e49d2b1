package io.rosemarybeam.control;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.IntStream;

import io.rosemarybeam.consensus.MemberId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against datagrams from elsewhere that are taken for messages of a leader. */
class KeepAliveMessageTest {
    private static final KeepAliveMessage MESSAGE = new KeepAliveMessage(new MemberId("10.1.0.7", -5), 1L << 40);

    private final KeepAliveMessage.Codec codec = new KeepAliveMessage.Codec("secret");
    private final byte[] datagram = codec.encode(MESSAGE);

    @Test
    void shouldDecodeWhatWasEncoded() {
        assertEquals(Optional.of(MESSAGE), codec.decode(datagram));
        assertEquals(Optional.of(MESSAGE), codec.decode(datagram.clone()), "a repeated datagram");
    }

    @Test
    void shouldRefuseDatagramWhenAnyByteDiffers() {
        IntStream.range(0, datagram.length).forEach(position -> {
            byte[] changed = datagram.clone();
            changed[position] ^= 1;
            assertEquals(Optional.empty(), codec.decode(changed), "byte " + position);
        });
    }

    @Test
    void shouldRefuseDatagramWhenItIsCutOff() {
        IntStream.range(0, datagram.length)
                .forEach(length -> assertEquals(Optional.empty(), codec.decode(Arrays.copyOf(datagram, length))));
    }
}
