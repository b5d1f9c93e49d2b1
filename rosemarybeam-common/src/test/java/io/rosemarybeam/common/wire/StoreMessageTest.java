package io.rosemarybeam.common.wire;

import java.util.List;
import java.util.stream.IntStream;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.EndpointAnnouncement.State;
import io.rosemarybeam.common.wire.StoreMessage.EndpointNews;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a list of endpoints that exceeds the size of a frame, so that it cannot be sent at all. */
class StoreMessageTest {
    private static final int LONGEST_ANNOUNCEMENT_BYTES = 131_072;

    private static EndpointAnnouncement announcement(int number) {
        return new EndpointAnnouncement(
                EndpointId.of("e-" + number),
                1,
                1,
                ServiceName.of("s"),
                "10.1.0.9:80",
                FailureDomain.of("fes"),
                1,
                State.READY,
                List.of(),
                "v".repeat(LONGEST_ANNOUNCEMENT_BYTES));
    }

    @Test
    void shouldSplitAnnouncementsSoThatEachBatchFitsIntoAFrame() {
        List<EndpointAnnouncement> all =
                IntStream.range(0, 120).mapToObj(StoreMessageTest::announcement).toList();

        List<EndpointNews> batches = EndpointNews.batchesOf(all);

        assertEquals(
                all,
                batches.stream()
                        .flatMap(batch -> batch.announcements().stream())
                        .toList());
        for (EndpointNews batch : batches) {
            assertTrue(MessageCodec.encode(batch).length <= Frame.MAXIMUM_PAYLOAD_BYTES);
        }
        assertEquals(List.of(), EndpointNews.batchesOf(List.of()));
    }
}
