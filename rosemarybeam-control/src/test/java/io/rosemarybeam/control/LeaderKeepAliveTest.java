package io.rosemarybeam.control;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.rosemarybeam.consensus.MemberId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Guards against followers that do not hear of a stalled leader, and against ones that believe in a dead or false one. */
class LeaderKeepAliveTest {
    private static final MemberId LEADER = new MemberId("127.0.79.1", 7);
    private static final String SECRET = "test";
    private static final long TERM = 3;
    private static final long TIMEOUT_MILLISECONDS = 5_000;
    private static final long QUIET_MILLISECONDS = 200;

    private final BlockingQueue<KeepAliveMessage> received = new LinkedBlockingQueue<>();
    private final String followerAddress = "127.0.79.2:" + freePort("127.0.79.2");
    private final LeaderKeepAlive follower = open(followerAddress, SECRET, received::add);
    private final LeaderKeepAlive leader = open("127.0.79.1:" + freePort("127.0.79.1"), SECRET, message -> {});

    @AfterEach
    void close() {
        leader.close();
        follower.close();
    }

    private static int freePort(String host) {
        try (java.net.DatagramSocket socket = new java.net.DatagramSocket(0, java.net.InetAddress.getByName(host))) {
            return socket.getLocalPort();
        } catch (java.io.IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static LeaderKeepAlive open(String address, String secret, Consumer<KeepAliveMessage> onMessage) {
        return LeaderKeepAlive.open(address, secret, Runnable::run, onMessage);
    }

    private KeepAliveMessage next(long milliseconds) throws InterruptedException {
        return received.poll(milliseconds, TimeUnit.MILLISECONDS);
    }

    @Test
    void shouldTellTheFollowersWhenTheLoopOfTheLeaderIsStalled() throws InterruptedException {
        leader.lead(LEADER, TERM, List.of(followerAddress));

        leader.loopIsStalled(LeaderKeepAlive.MINIMUM_STALL_MILLISECONDS);

        assertEquals(new KeepAliveMessage(LEADER, TERM), next(TIMEOUT_MILLISECONDS));
    }

    @Test
    void shouldAnnounceTheNewTermWhenTheLeaderIsElectedAgain() throws InterruptedException {
        leader.lead(LEADER, TERM, List.of(followerAddress));
        leader.lead(LEADER, TERM + 1, List.of(followerAddress));

        leader.loopIsStalled(LeaderKeepAlive.MINIMUM_STALL_MILLISECONDS);

        assertEquals(TERM + 1, next(TIMEOUT_MILLISECONDS).term());
    }

    /** A loop that has been stalled for that long may never run again, and the followers must be free to elect. */
    @Test
    void shouldSendNothingWhenTheStallIsShortOrTooLong() throws InterruptedException {
        leader.lead(LEADER, TERM, List.of(followerAddress));

        leader.loopIsStalled(LeaderKeepAlive.MINIMUM_STALL_MILLISECONDS - 1);
        leader.loopIsStalled(LeaderKeepAlive.MAXIMUM_STALL_MILLISECONDS + 1);

        assertNull(next(QUIET_MILLISECONDS));
    }

    @Test
    void shouldSendNothingWhenTheHostDoesNotLeadAnyMore() throws InterruptedException {
        leader.lead(LEADER, TERM, List.of(followerAddress));
        leader.follow();

        leader.loopIsStalled(LeaderKeepAlive.MINIMUM_STALL_MILLISECONDS);

        assertNull(next(QUIET_MILLISECONDS));
    }

    @Test
    void shouldIgnoreMessagesWhenTheirSecretIsAnother() throws InterruptedException {
        try (LeaderKeepAlive stranger = open("127.0.79.3:" + freePort("127.0.79.3"), "another", message -> {})) {
            stranger.lead(LEADER, TERM, List.of(followerAddress));

            stranger.loopIsStalled(LeaderKeepAlive.MINIMUM_STALL_MILLISECONDS);

            assertNull(next(QUIET_MILLISECONDS));
        }
    }
}
