package io.rosemarybeam.control;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.rosemarybeam.consensus.DurableState;
import io.rosemarybeam.consensus.HardState;
import io.rosemarybeam.consensus.LogMessage;
import io.rosemarybeam.consensus.LogMessage.Envelope;
import io.rosemarybeam.consensus.LogOptions;
import io.rosemarybeam.consensus.LogSnapshot;
import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.Membership;
import io.rosemarybeam.consensus.Ready;
import io.rosemarybeam.consensus.ReplicatedLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a leader that takes old answers, read after a stall, for a sign that it still leads. */
class MajorityContactTest {
    private static final MemberId SELF = new MemberId("m1", 1);
    private static final MemberId OTHER = new MemberId("m2", 1);

    private final MajorityContact contact = new MajorityContact();
    private final LogOptions options = LogOptions.standard(1);
    private ReplicatedLog log;

    @BeforeEach
    void lead() {
        List<Member> voters = IntStream.rangeClosed(1, 3)
                .mapToObj(number -> new Member(new MemberId("m" + number, 1), "m" + number + ":1"))
                .toList();
        LogSnapshot first = new LogSnapshot(1, 1, new Membership(voters, List.of()), new byte[0]);
        log = new ReplicatedLog(
                options, SELF, new DurableState(new HardState(1, Optional.empty()), Optional.of(first), List.of()));
        while (log.role() == ReplicatedLog.Role.FOLLOWER) {
            log.tick();
        }
        drain();
        log.receive(new Envelope(OTHER, SELF, new LogMessage.Vote(2, true, true)));
        drain();
        log.receive(new Envelope(OTHER, SELF, new LogMessage.Vote(2, false, true)));
        drain();
        assertEquals(ReplicatedLog.Role.LEADER, log.role());
    }

    private void drain() {
        while (log.hasReady()) {
            Ready ready = log.ready();
            if (ready.needsPersisting()) {
                log.persisted(0, 0);
            }
        }
    }

    private void answer(long round) {
        log.receive(new Envelope(OTHER, SELF, new LogMessage.Appended(2, true, log.lastIndex(), 0, round)));
        drain();
    }

    private void heartbeat() {
        IntStream.range(0, options.heartbeatTicks()).forEach(tick -> log.tick());
        drain();
    }

    @Test
    void shouldHaveNoContactUntilAMajorityHasAnswered() {
        contact.recordRound(log, 1_000);

        assertEquals(Long.MAX_VALUE, contact.age(log, 1_000));
    }

    @Test
    void shouldCountTheAgeFromTheQuestionWhenTheAnswerIsReadLate() {
        heartbeat();
        contact.recordRound(log, 1_000);
        long round = log.confirmationRound().orElseThrow();
        answer(round);
        contact.recordRound(log, 9_000);

        assertEquals(8_000, contact.age(log, 9_000));
        assertEquals(8_100, contact.age(log, 9_100));
    }

    @Test
    void shouldBeRenewedByTheAnswerToTheNextHeartbeat() {
        heartbeat();
        contact.recordRound(log, 1_000);
        answer(log.confirmationRound().orElseThrow());
        heartbeat();
        contact.recordRound(log, 1_100);
        assertEquals(110, contact.age(log, 1_110));

        answer(log.confirmationRound().orElseThrow());

        assertEquals(20, contact.age(log, 1_120));
    }

    @Test
    void shouldEndWhenAnotherTermIsKnown() {
        heartbeat();
        contact.recordRound(log, 1_000);
        answer(log.confirmationRound().orElseThrow());
        assertEquals(0, contact.age(log, 1_000));

        log.receive(new Envelope(OTHER, SELF, new LogMessage.Appended(3, false, 0, 0, 0)));

        assertEquals(Long.MAX_VALUE, contact.age(log, 1_000));
    }
}
