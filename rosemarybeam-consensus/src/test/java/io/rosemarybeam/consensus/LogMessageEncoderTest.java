package io.rosemarybeam.consensus;

import java.util.List;

import io.rosemarybeam.consensus.LogMessage.Append;
import io.rosemarybeam.consensus.LogMessage.Appended;
import io.rosemarybeam.consensus.LogMessage.Envelope;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a leader that stalls because it encodes each entry again for every other member. */
class LogMessageEncoderTest {
    private static final MemberId LEADER = new MemberId("leader", 1);
    private static final int MEMBERS = 9;
    private static final byte[] DATA = new byte[100_000];

    private final LogMessageEncoder encoder = new LogMessageEncoder();

    private static Envelope append(int member, long previous, long commit) {
        LogEntry entry = new LogEntry(previous + 1, 3, LogEntry.Kind.COMMAND, DATA);
        return new Envelope(
                LEADER,
                new MemberId("member-" + member, member),
                new Append(3, previous, 3, List.of(entry), commit, 0));
    }

    @Test
    void shouldEncodeEntriesOnceWhenAllMembersGetTheSame() {
        for (int member = 0; member < MEMBERS; member++) {
            assertArrayEquals(LogMessageCodec.encode(append(member, 7, 6)), encoder.encode(append(member, 7, 6)));
        }
        assertEquals(1, encoder.encodedAppends());
    }

    @Test
    void shouldEncodeAgainWhenAnyFieldDiffers() {
        encoder.encode(append(1, 7, 6));
        assertArrayEquals(LogMessageCodec.encode(append(1, 7, 7)), encoder.encode(append(1, 7, 7)));
        assertArrayEquals(LogMessageCodec.encode(append(1, 8, 7)), encoder.encode(append(1, 8, 7)));
        assertEquals(3, encoder.encodedAppends());
    }

    @Test
    void shouldEncodeOtherMessagesAsTheyAre() {
        Envelope answer = new Envelope(LEADER, new MemberId("m", 2), new Appended(3, true, 7, 0, 0));
        assertArrayEquals(LogMessageCodec.encode(answer), encoder.encode(answer));
        assertEquals(0, encoder.encodedAppends());
    }
}
