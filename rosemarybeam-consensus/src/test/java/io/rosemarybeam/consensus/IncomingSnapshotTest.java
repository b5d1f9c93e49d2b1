package io.rosemarybeam.consensus;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a snapshot with gaps, or with parts of two encodings. */
class IncomingSnapshotTest {
    private static final byte[] STATE = {1, 2, 3, 4, 5};

    private final IncomingSnapshot snapshot = new IncomingSnapshot(7, STATE.length);

    private static LogMessage.SnapshotPart part(int offset, int end, int total) {
        return new LogMessage.SnapshotPart(
                2, 7, 1, Membership.empty(), offset, total, Arrays.copyOfRange(STATE, offset, end));
    }

    @Test
    void shouldContainTheStateWhenPartsAreRepeatedOrMissing() {
        assertEquals(2, snapshot.append(part(0, 2, 5)));
        assertEquals(2, snapshot.append(part(4, 5, 5)));
        assertEquals(2, snapshot.append(part(0, 2, 5)));
        assertEquals(4, snapshot.append(part(2, 4, 5)));
        assertEquals(5, snapshot.append(part(4, 5, 5)));

        LogSnapshot complete = snapshot.complete(part(4, 5, 5));

        assertEquals(7, complete.index());
        assertEquals(1, complete.term());
        assertArrayEquals(STATE, complete.state());
    }

    /** Another leader, as one of another release, may encode the same state in another way. */
    @Test
    void shouldNotContainPartsWhenTheEncodingHasAnotherSize() {
        assertTrue(snapshot.contains(part(0, 2, 5)));
        assertFalse(snapshot.contains(part(0, 2, 6)));
    }
}
