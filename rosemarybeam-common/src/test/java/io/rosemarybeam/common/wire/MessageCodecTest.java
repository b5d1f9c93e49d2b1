package io.rosemarybeam.common.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.EntryLease;
import io.rosemarybeam.common.wire.ControlReply.EntryState;
import io.rosemarybeam.common.wire.EntryRequest.EndpointRenewal;
import io.rosemarybeam.common.wire.EntryRequest.RenewEntryLease;
import io.rosemarybeam.common.wire.StoreMessage.EndpointNews;
import io.rosemarybeam.common.wire.StoreMessage.FindStream;
import io.rosemarybeam.common.wire.StoreMessage.StreamReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against messages that are changed by encoding and decoding, and against payloads that crash the decoder. */
class MessageCodecTest {
    private static final EntryHostRecord ENTRY = new EntryHostRecord(
            HostName.of("entry-1"), 5, "127.0.0.1:8080", "127.0.0.1:9080", FailureDomain.of("amman-a"), false);

    private static EndpointRecord endpoint() {
        return new EndpointRecord(
                EndpointId.of("engine-1"),
                3,
                ServiceName.of("brailler-lm"),
                "http://127.0.0.1:9001",
                FailureDomain.of("amman-b"),
                8,
                true,
                true,
                true,
                false,
                Optional.of(WeightVersion.of(4)),
                false);
    }

    /** A record that ends with an array of bytes. */
    record WithPayload(String name, Optional<Long> number, FailureDomain absent, byte[] payload) {}

    /** The same record with one more component, for which the general encoder is used. */
    record WithPayloadInside(String name, Optional<Long> number, FailureDomain absent, byte[] payload, String end) {}

    /** A snapshot that is written in chunks must be readable by a host that reads it as a whole, and the other way round. */
    @ParameterizedTest
    @ValueSource(ints = {0, 255, 4_095, 4_096, 65_535, 65_536, 300_000})
    void shouldWriteTheSameBytesWhenEncodedToAStreamOrInTwoPasses(int size) throws IOException {
        byte[] payload = new byte[size];
        new Random(size).nextBytes(payload);
        for (Record record : List.of(
                new WithPayload("name", Optional.of(-7L), null, payload),
                new WithPayloadInside("n".repeat(size), Optional.empty(), null, payload, "end"))) {
            ByteArrayOutputStream stream = new ByteArrayOutputStream();
            MessageCodec.encode(record, stream);

            assertArrayEquals(MessageCodec.encode(record), stream.toByteArray());
            assertArrayEquals(MessageCodec.encode(record), MessageCodec.encodeLarge(record));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 255, 4_095, 4_096, 65_535, 65_536, 300_000})
    void shouldEncodeLargePayloadInTheGeneralFormat(int size) {
        // Guards against a log entry that another release cannot decode because the fast path writes another format.
        byte[] payload = new byte[size];
        new Random(size).nextBytes(payload);
        byte[] fast = MessageCodec.encode(new WithPayload("name", Optional.of(-7L), null, payload));
        byte[] general = MessageCodec.encode(new WithPayloadInside("name", Optional.of(-7L), null, payload, ""));

        assertEquals(general[0] - 1, fast[0], "number of components");
        assertArrayEquals(Arrays.copyOfRange(general, 1, general.length - 1), Arrays.copyOfRange(fast, 1, fast.length));
        WithPayload decoded = MessageCodec.decode(fast, WithPayload.class);
        assertEquals("name", decoded.name());
        assertEquals(Optional.of(-7L), decoded.number());
        assertArrayEquals(payload, decoded.payload());
    }

    @Test
    void shouldReturnEqualRecordWhenLeaseRenewalIsEncodedAndDecoded() {
        var renewal = new EndpointRenewal(EndpointId.of("engine-1"), 3, Optional.empty());
        var request = new RenewEntryLease(ENTRY, 4, 2, 17, List.of(renewal), Map.of("brailler-lm", 12));

        byte[] payload = MessageCodec.encode(request);

        assertEquals(request, MessageCodec.decode(payload, RenewEntryLease.class));
    }

    @Test
    void shouldReturnEqualRecordWhenLeaseIsEncodedAndDecoded() {
        var membership = new MembershipDelta(0, 9, List.of(endpoint()), List.of(), List.of(ENTRY), List.of());
        var state = new EntryState(
                2,
                Optional.of(new ControlReply.ConfigurationText(4, "{}")),
                Optional.of(membership),
                Map.of("brailler-lm", 16),
                List.of(),
                Map.of("brailler-lm", WeightVersion.of(4)));
        var lease = new EntryLease(3_000, state);

        assertEquals(lease, MessageCodec.decode(MessageCodec.encode(lease), EntryLease.class));
    }

    @Test
    void shouldThrowTypedErrorWhenPayloadIsGarbage() {
        byte[] garbage = {(byte) 0xc1, 1, 2, 3};

        WireException failure = assertThrows(WireException.class, () -> MessageCodec.decode(garbage, EntryLease.class));

        assertEquals(ErrorCode.FRAME_INVALID, failure.code());
    }

    /** The endpoint news of an earlier release, which had no crashes. */
    private record EarlierEndpointNews(List<EndpointAnnouncement> announcements) {}

    /** A crash as an earlier release reports it, which knows no suspected crashes. */
    private record EarlierCrash(
            Fingerprint fingerprint,
            EndpointId endpoint,
            long startedMilliseconds,
            long ageMilliseconds,
            boolean cleared) {}

    @Test
    void shouldTakeCrashesOfAnEarlierReleaseForConfirmedOnes() {
        byte[] earlier = MessageCodec.encode(new EarlierCrash(Fingerprint.of("f"), EndpointId.of("e"), 1, 2, false));

        assertEquals(
                EndpointCrash.of(Fingerprint.of("f"), EndpointId.of("e"), 1, 2, EndpointCrash.State.CONFIRMED),
                MessageCodec.decode(earlier, EndpointCrash.class));
    }

    /** In a rolling upgrade a frame that cannot be decoded would close the connection each time. */
    @Test
    void shouldExchangeEndpointNewsWithAnEarlierRelease() {
        EndpointCrash crash =
                EndpointCrash.of(Fingerprint.of("f"), EndpointId.of("e"), 1, 2, EndpointCrash.State.DISPROVED);
        EndpointNews newer = EndpointNews.ofCrashes(List.of(crash));

        assertEquals(newer, MessageCodec.decode(MessageCodec.encode(newer), EndpointNews.class));
        assertEquals(
                new EarlierEndpointNews(List.of()),
                MessageCodec.decode(MessageCodec.encode(newer), EarlierEndpointNews.class));
        assertEquals(
                EndpointNews.ofCrashes(List.of()),
                MessageCodec.decode(MessageCodec.encode(new EarlierEndpointNews(List.of())), EndpointNews.class));
    }

    /** The reply of an earlier release to a search for the origin of a stream, which does not say whether it is certain. */
    private record EarlierStreamReply(Optional<StreamOrigin> origin) {}

    /** In a rolling upgrade edges would ask hosts of the earlier release again, or drop their connections. */
    @Test
    void shouldExchangeStreamRepliesWithAnEarlierRelease() {
        Optional<StreamOrigin> origin = Optional.of(new StreamOrigin("r", ServiceName.of("desk"), "v1"));

        assertEquals(
                new StreamReply(origin, false, Optional.empty()),
                MessageCodec.decode(MessageCodec.encode(new EarlierStreamReply(origin)), StreamReply.class));
        assertEquals(
                new EarlierStreamReply(origin),
                MessageCodec.decode(
                        MessageCodec.encode(new StreamReply(origin, true, Optional.of(List.of("v1")))),
                        EarlierStreamReply.class));
    }

    /** The search of an earlier release, which does not name the services of the route. */
    private record EarlierFindStream(String request) {}

    /** In a rolling upgrade a host would drop the connection of an edge of the other release, and no stream could be resumed. */
    @Test
    void shouldExchangeSearchesForStreamsWithAnEarlierRelease() {
        FindStream newer = new FindStream("r", List.of(ServiceName.of("desk")));

        assertEquals(newer, MessageCodec.decode(MessageCodec.encode(newer), FindStream.class));
        assertEquals(
                new EarlierFindStream("r"), MessageCodec.decode(MessageCodec.encode(newer), EarlierFindStream.class));
        assertEquals(
                new FindStream("r", List.of()),
                MessageCodec.decode(MessageCodec.encode(new EarlierFindStream("r")), FindStream.class));
    }
}
