package io.rosemarybeam.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.ControlReply.PushState;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.control.state.Command;
import io.rosemarybeam.control.state.CommandCodec;
import io.rosemarybeam.control.state.ControlState;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

/** Guards against a leader whose work for one change grows with the number of entries times that of endpoints. */
class EntryNotifierTest {
    private final ControlState state = new ControlState();
    private final EntryNotifier notifier = new EntryNotifier(state, 1);

    private void register(String name) {
        state.apply(CommandCodec.encode(
                1,
                new Command.RegisterEntry(new EntryHostRecord(
                        HostName.of(name), 1, "127.0.0.1:1", "127.0.0.1:2", FailureDomain.of("fes"), false))));
    }

    /** Guards against a change of the membership that is computed anew for each entry. */
    @Test
    void shouldComputeChangeOnceWhenEntriesHaveTheSameVersion() {
        List<FakeConnection> entries = List.of(new FakeConnection(), new FakeConnection());
        register("entry-1");
        entries.forEach(entry -> notifier.subscribe(entry, 0, 0, Map.of()));
        register("entry-2");

        notifier.flush();

        MembershipDelta first = entries.getFirst().lastMembership();
        assertEquals(state.membershipVersion(), first.toVersion());
        assertSame(first, entries.getLast().lastMembership());
    }

    /** Records the sent messages. */
    private static final class FakeConnection implements WireConnection {
        private final List<Message> sent = new ArrayList<>();

        private MembershipDelta lastMembership() {
            return ((PushState) sent.getLast()).state().membership().orElseThrow();
        }

        @Override
        public Role remoteRole() {
            return Role.ENTRY;
        }

        @Override
        public String remoteName() {
            return "entry";
        }

        @Override
        public long remoteIncarnation() {
            return 0;
        }

        @Override
        public CompletableFuture<Message> request(Message message, Duration timeout) {
            return new CompletableFuture<>();
        }

        @Override
        public void send(Message message) {
            sent.add(message);
        }

        @Override
        public void reply(long correlation, Message message) {
            sent.add(message);
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {
            // Nothing to release.
        }
    }
}
