package io.rosemarybeam.consensus;

import java.util.List;
import java.util.Optional;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.consensus.LogCluster.Node;
import io.rosemarybeam.consensus.LogMessage.Envelope;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against members that disrupt the cluster when they return from isolation, stale reads, members that cannot catch
 * up, members that count towards a quorum before they hold the complete state, and leaders that are deposed because the
 * disks of their followers are slow.
 */
class ReplicatedLogTest {
    private static final long SEED = 7;
    private static final int LONG_ISOLATION_TICKS = 400;

    private LogCluster cluster = cluster(3);

    private static LogCluster cluster(int size) {
        LogCluster cluster =
                new LogCluster(size, SEED, LogOptions.standard(SEED).withSnapshotPartBytes(2));
        cluster.runUntilLeader();
        return cluster;
    }

    private Node leader() {
        return cluster.leader().orElseThrow();
    }

    private Node follower() {
        return cluster.nodes.values().stream()
                .filter(node -> node != leader())
                .findFirst()
                .orElseThrow();
    }

    private void propose(int count) {
        for (int number = 0; number < count; number++) {
            cluster.propose();
        }
        cluster.run(5);
    }

    /** Isolates a follower until the others have compacted entries that it lacks. */
    private Node isolateBeyondRetainedEntries() {
        Node behind = follower();
        cluster.isolated.add(behind.id.name());
        propose(500);
        cluster.nodes.values().stream().filter(node -> node != behind).forEach(Node::compact);
        return behind;
    }

    @Test
    void shouldNotDisruptLeaderWhenFollowerReturnsFromLongIsolation() {
        Node leader = leader();
        long term = leader.log.term();
        Node isolated = follower();
        cluster.isolated.add(isolated.id.name());
        cluster.run(LONG_ISOLATION_TICKS);
        propose(3);
        cluster.isolated.clear();
        cluster.run(50);

        assertEquals(term, leader().log.term());
        assertEquals(leader.id, leader().id);
        assertEquals(leader.applied, isolated.applied);
    }

    @Test
    void shouldNotConfirmReadWhenLeaderWasReplacedWithoutKnowing() {
        Node former = leader();
        cluster.isolated.add(former.id.name());
        // The others elect a new leader while the isolated one receives no ticks, like a paused process.
        List<Node> others =
                cluster.nodes.values().stream().filter(node -> node != former).toList();
        runFollowers(former, 60, () -> {});
        propose(2);
        assertTrue(others.contains(leader()));
        assertEquals(ReplicatedLog.Role.LEADER, former.log.role());

        cluster.read(former);
        cluster.isolated.clear();
        cluster.run(50);

        assertEquals(0, cluster.confirmedReads());
        assertEquals(ReplicatedLog.Role.FOLLOWER, former.log.role());
    }

    /** Advances the time of the followers only, as if the event loop of the leader were stalled. */
    private void runFollowers(Node leader, int ticks, Runnable beforeEachTick) {
        List<Node> others =
                cluster.nodes.values().stream().filter(node -> node != leader).toList();
        for (int tick = 0; tick < ticks; tick++) {
            beforeEachTick.run();
            for (Node node : others) {
                node.log.tick();
                node.process();
                node.persist();
                while (!cluster.network.isEmpty()) {
                    cluster.deliver(0, false);
                    others.forEach(Node::persist);
                }
            }
        }
    }

    /** Guards against elections that a leader loses only because its event loop is stalled while its process runs. */
    @Test
    void shouldNotElectAnotherLeaderWhenStalledLeaderSaysThatItRuns() {
        Node stalled = leader();
        cluster.isolated.add(stalled.id.name());
        long term = stalled.log.term();
        List<Node> others =
                cluster.nodes.values().stream().filter(node -> node != stalled).toList();

        runFollowers(stalled, 60, () -> others.forEach(node -> node.log.leaderIsAlive(stalled.id, term)));
        assertTrue(others.stream().allMatch(node -> node.log.term() == term));

        runFollowers(stalled, 60, () -> {});
        assertTrue(others.contains(leader()), "without a further sign of life another leader is elected");
    }

    /** Guards against a former leader that keeps a cluster without a leader from electing one. */
    @Test
    void shouldElectAnotherLeaderWhenTheSignOfLifeIsOfAFormerTermOrAnotherHost() {
        Node stalled = leader();
        cluster.isolated.add(stalled.id.name());
        long term = stalled.log.term();
        List<Node> others =
                cluster.nodes.values().stream().filter(node -> node != stalled).toList();

        runFollowers(
                stalled,
                60,
                () -> others.forEach(node -> {
                    node.log.leaderIsAlive(stalled.id, term - 1);
                    node.log.leaderIsAlive(others.getFirst().id, term);
                }));

        assertTrue(others.contains(leader()));
    }

    @Test
    void shouldConfirmReadsWhenMajorityAnswers() {
        cluster.read(leader());
        cluster.run(5);

        assertEquals(1, cluster.confirmedReads());
    }

    @Test
    void shouldStepDownWhenLeaderLosesMajority() {
        Node former = leader();
        cluster.isolated.add(former.id.name());
        cluster.run(30);

        assertFalse(former.log.role() == ReplicatedLog.Role.LEADER);
        assertThrows(ControlException.class, () -> former.log.propose(new byte[1]));
    }

    @Test
    void shouldCatchUpFromEntriesWhenFollowerMissedHundredsOfChanges() {
        Node behind = follower();
        cluster.isolated.add(behind.id.name());
        propose(500);
        cluster.isolated.clear();
        cluster.run(20);

        assertEquals(leader().applied, behind.applied);
        assertTrue(behind.applied > 500);
    }

    @Test
    void shouldCatchUpFromSnapshotWhenLeaderDiscardedTheEntries() {
        Node behind = isolateBeyondRetainedEntries();
        propose(5);
        cluster.isolated.clear();
        cluster.run(40);

        assertEquals(leader().applied, behind.applied);
        assertTrue(behind.log.retainedEntries() < 20, "entries were replicated instead of the snapshot");
        behind.crash();
        assertTrue(behind.applied > 500, "the snapshot was not durable");
    }

    /** Returns the number of undelivered snapshot parts with content that are addressed to a member. */
    private long snapshotPartsInFlightTo(Node member) {
        return cluster.network.stream()
                .filter(envelope -> envelope.to().equals(member.id))
                .filter(envelope ->
                        envelope.message() instanceof LogMessage.SnapshotPart part && part.data().length > 0)
                .count();
    }

    // Duplicate parts saturated the connection of a member that was catching up, which delayed it by 20 s.
    @Test
    void shouldSendPartOfSnapshotOnceWhenReadsAndHeartbeatsOvertakeIt() {
        Node behind = isolateBeyondRetainedEntries();
        propose(5);
        cluster.isolated.clear();
        Node leader = leader();
        while (snapshotPartsInFlightTo(behind) == 0) {
            leader.log.tick();
            leader.process();
            leader.persist();
            for (int message = 0; snapshotPartsInFlightTo(behind) == 0 && !cluster.network.isEmpty(); message++) {
                cluster.deliver(0, false);
            }
        }
        for (int round = 0; round < 8; round++) {
            leader.log.tick();
            leader.process();
            leader.persist();
            cluster.read(leader);
        }

        assertEquals(1, snapshotPartsInFlightTo(behind));
    }

    /** Guards against a leader that sends no work, because its only reachable follower receives a snapshot for seconds. */
    @Test
    void shouldConfirmThatItLeadsWhenItsMajorityReceivesASnapshot() {
        Node behind = isolateBeyondRetainedEntries();
        Node leader = leader();
        cluster.isolated.clear();
        cluster.nodes.values().stream()
                .filter(node -> node != behind && node != leader)
                .forEach(other -> cluster.isolated.add(other.id.name()));
        while (snapshotPartsInFlightTo(behind) == 0) {
            leader.log.tick();
            leader.process();
            leader.persist();
            cluster.deliver(0, false);
        }
        long round = leader.log.confirmationRound().orElseThrow();
        cluster.network.removeIf(envelope -> envelope.message() instanceof LogMessage.SnapshotPart);

        for (int tick = 0; tick < 4; tick++) {
            leader.log.tick();
            leader.process();
            while (!cluster.network.isEmpty()) {
                cluster.deliver(0, false);
                behind.persist();
            }
        }

        assertTrue(behind.applied < 500, "the snapshot is installed");
        assertTrue(leader.log.confirmedRound().orElseThrow() > round, "no majority has answered since " + round);
    }

    @Test
    void shouldResendPartOfSnapshotWhenItWasLost() {
        Node behind = isolateBeyondRetainedEntries();
        cluster.isolated.clear();
        for (int round = 0; round < 400 && behind.applied < 500; round++) {
            if (round % 3 == 0) {
                cluster.isolated.add(behind.id.name());
            } else {
                cluster.isolated.clear();
            }
            cluster.run(1);
        }

        assertTrue(behind.applied > 500, "applied only " + behind.applied + " entries");
    }

    @Test
    void shouldApplyEverythingAgainWhenAllRestartAfterHundredsOfChanges() {
        propose(300);
        long committed = cluster.lastCommitted();
        cluster.nodes.values().forEach(Node::crash);
        cluster.network.clear();
        cluster.runUntilLeader();
        cluster.run(10);

        cluster.nodes.values().forEach(node -> assertTrue(node.applied >= committed));
    }

    private Node loseDiskAndRejoin(String name) {
        cluster.loseDisk(name);
        Node rejoined = cluster.nodes.get(name);
        MemberId former = new MemberId(name, rejoined.id.incarnation() - 1);
        cluster.runUntilLeader();
        leader().change(new MembershipChange.AddLearner(LogCluster.member(name, rejoined.id.incarnation())));
        cluster.run(10);
        leader().change(new MembershipChange.Remove(former));
        cluster.run(10);
        leader().change(new MembershipChange.Promote(rejoined.id));
        cluster.run(10);
        return rejoined;
    }

    @Test
    void shouldRetainEntriesWhenSecondHostLosesItsDiskJustAfterFirstRejoined() {
        propose(20);
        long before = cluster.lastCommitted();
        Node rejoined = loseDiskAndRejoin("m1");
        Node second = loseDiskAndRejoin("m2");

        assertTrue(leader().log.membership().isVoter(rejoined.id));
        assertTrue(leader().log.membership().isVoter(second.id));
        assertEquals(3, leader().log.membership().voters().size());
        cluster.nodes.values().forEach(node -> assertTrue(node.applied > before));
    }

    @Test
    void shouldNotCountEmptyHostWhenItsDiskWasLost() {
        Node leader = leader();
        List<String> followers = cluster.nodes.keySet().stream()
                .filter(name -> !name.equals(leader.id.name()))
                .toList();
        followers.forEach(cluster::loseDisk);
        long committed = leader.log.commitIndex();
        cluster.propose();
        cluster.run(100);

        assertEquals(committed, leader.log.commitIndex());
        assertTrue(cluster.leader().isEmpty());
    }

    @Test
    void shouldRefuseSecondChangeWhenFirstIsNotCommitted() {
        cluster.add("m4", 1);
        ReplicatedLog log = leader().log;
        log.proposeChange(new MembershipChange.AddLearner(LogCluster.member("m4", 1)));

        ControlException pending = assertThrows(
                ControlException.class,
                () -> log.proposeChange(new MembershipChange.AddLearner(LogCluster.member("m5", 1))));

        assertEquals(ErrorCode.MEMBERSHIP_CHANGE_PENDING, pending.code());
    }

    @Test
    void shouldRefusePromotionWhenLearnerIsNotCaughtUp() {
        Node learner = cluster.add("m4", 1);
        cluster.isolated.add("m4");
        leader().change(new MembershipChange.AddLearner(LogCluster.member("m4", 1)));
        cluster.run(10);

        ControlException refused = assertThrows(
                ControlException.class, () -> leader().log.proposeChange(new MembershipChange.Promote(learner.id)));

        assertEquals(ErrorCode.MEMBERSHIP_CHANGE_PENDING, refused.code());
        assertFalse(leader().log.membership().isVoter(learner.id));
    }

    @Test
    void shouldTransferLeadershipWhenRequested() {
        Node target = follower();
        leader().log.transferLeadership(target.id);
        leader().process();
        cluster.run(3);

        assertEquals(target.id, leader().id);
    }

    /** Guards against a leader that sends no work for the whole of a planned stop, because its successor lags. */
    @Test
    void shouldOfferTheLeadershipOnlyWhenItsSuccessorHasCaughtUp() {
        Node target = follower();
        cluster.isolated.add(target.id.name());
        propose(10);
        Node leader = leader();
        leader.log.transferLeadership(target.id);
        leader.process();
        cluster.run(2);

        assertFalse(leader.log.hasOfferedLeadership());
        cluster.isolated.clear();
        leader.log.transferLeadership(target.id);
        cluster.run(20);
        assertEquals(target.id, leader().id);
    }

    @Test
    void shouldSyncOnceWhenManyProposalsArriveTogether() {
        LogCluster alone = cluster(1);
        Node only = alone.leader().orElseThrow();
        int before = only.files.syncs();
        for (int number = 0; number < 100; number++) {
            only.log.propose(new byte[] {1});
        }
        only.process();
        only.persist();

        assertEquals(1, only.files.syncs() - before);
        assertEquals(only.log.lastIndex(), only.applied);
    }

    /** Advances all members by one tick and delivers all messages, while the disk of one member does not return. */
    private void runWithHangingDisk(Node slow) {
        List<Node> others =
                cluster.nodes.values().stream().filter(node -> node != slow).toList();
        cluster.nodes.values().forEach(node -> {
            node.log.tick();
            node.process();
        });
        others.forEach(Node::persist);
        for (int message = 0; message < 2_000 && !cluster.network.isEmpty(); message++) {
            cluster.deliver(0, false);
            others.forEach(Node::persist);
        }
    }

    /** Guards against a leader that sends work of submissions whose ends the others have committed, because its disk hangs. */
    @Test
    void shouldApplyCommittedEntriesWhenTheDiskOfTheLeaderDoesNotReturn() {
        Node slow = leader();
        cluster.propose();
        long index = slow.log.lastIndex();
        for (int tick = 0; tick < 20; tick++) {
            runWithHangingDisk(slow);
        }

        assertEquals(slow.id, leader().id);
        assertTrue(slow.applied >= index, "applied " + slow.applied + ", committed " + slow.log.commitIndex());
        assertFalse(slow.log.isDurable(index));
        slow.crash();
        cluster.run(50);
        assertTrue(slow.applied >= index, "the entry is lost after a restart");
    }

    /** Guards against a leader that steps down, because the only other member that is up stores a snapshot for 1.5 s. */
    @Test
    void shouldKeepLeadingWhenItsMajorityStoresASnapshot() {
        Node behind = isolateBeyondRetainedEntries();
        Node leader = leader();
        cluster.isolated.clear();
        cluster.nodes.values().stream()
                .filter(node -> node != behind && node != leader)
                .forEach(other -> cluster.isolated.add(other.id.name()));
        for (int tick = 0; tick < 20; tick++) {
            runWithHangingDisk(behind);
        }
        long confirmed = leader.log.confirmedRound().orElse(Long.MAX_VALUE);
        for (int tick = 0; tick < 10; tick++) {
            runWithHangingDisk(behind);
        }

        assertTrue(behind.applied < 500, "the snapshot is stored");
        assertEquals(ReplicatedLog.Role.LEADER, leader.log.role());
        assertTrue(
                leader.log.confirmedRound().orElseThrow() > confirmed, "no majority has answered since " + confirmed);
        behind.persist();
        cluster.run(20);
        assertEquals(leader.applied, behind.applied);
    }

    /** Guards against several copies of all that has waited for a stalled disk, which end a host for lack of memory. */
    @Test
    void shouldPersistInBoundedBatchesWhenManyLargeEntriesWait() {
        Node alone = cluster(1).leader().orElseThrow();
        int entryBytes = 100_000;
        int entries = 40;
        for (int number = 0; number < entries; number++) {
            alone.log.propose(new byte[entryBytes]);
        }

        int persisted = 0;
        while (persisted < entries) {
            Ready ready = alone.log.ready();
            long bytes = ready.entries().stream()
                    .mapToLong(entry -> entry.data().length)
                    .sum();
            assertTrue(bytes > 0 && bytes <= EntryBuffer.MAXIMUM_BATCH_BYTES, bytes + " bytes in one batch");
            persisted += ready.entries().size();
            alone.log.persisted(0, 0);
        }

        assertTrue(alone.log.isDurable(alone.log.lastIndex()));
    }

    /** Guards against commands that are refused during a whole planned stop, because the successor cannot catch up. */
    @Test
    void shouldChooseASuccessorThatHoldsTheLogWhenTheDiskOfAnotherDoesNotReturn() {
        for (Node slow : List.copyOf(cluster.nodes.values())) {
            if (slow == leader()) {
                continue;
            }
            cluster.propose();
            for (int tick = 0; tick < 10; tick++) {
                runWithHangingDisk(slow);
            }

            assertTrue(leader().log.isActive(slow.id));
            assertFalse(leader().log.successor(id -> true).equals(Optional.of(slow.id)));
            cluster.run(10);
        }
    }

    @Test
    void shouldKeepLeadingWhenDisksOfFollowersAreSlow() {
        Node leader = leader();
        long committed = leader.log.commitIndex();
        cluster.propose();
        for (int tick = 0; tick < 100; tick++) {
            cluster.nodes.values().forEach(node -> {
                node.log.tick();
                node.process();
            });
            while (!cluster.network.isEmpty()) {
                cluster.deliver(0, false);
            }
            leader.persist();
        }

        assertEquals(ReplicatedLog.Role.LEADER, leader.log.role());
        assertEquals(committed, leader.log.commitIndex());
        cluster.run(3);
        assertTrue(leader.log.commitIndex() > committed);
    }

    @Test
    void shouldRefuseProposalWhenItIsTooLarge() {
        byte[] tooLarge = new byte[LogOptions.standard(SEED).maximumProposalBytes() + 1];
        ControlException refused =
                assertThrows(ControlException.class, () -> leader().log.propose(tooLarge));

        assertEquals(ErrorCode.PROPOSAL_TOO_LARGE, refused.code());
    }

    // An entry of an earlier term that is on a majority can still be replaced by a later leader. Only an entry of the
    // current term may be committed by counting replicas.
    @Test
    void shouldNotCommitEntryOfEarlierTermWhenOnlyCounted() {
        MemberId self = new MemberId("m1", 1);
        MemberId other = new MemberId("m2", 1);
        Membership members = new Membership(
                List.of(LogCluster.member("m1", 1), LogCluster.member("m2", 1), LogCluster.member("m3", 1)), List.of());
        LogSnapshot snapshot = new LogSnapshot(1, 1, members, new byte[0]);
        LogEntry old = new LogEntry(2, 2, LogEntry.Kind.COMMAND, new byte[] {1});
        ReplicatedLog log = new ReplicatedLog(
                LogOptions.standard(SEED),
                self,
                new DurableState(new HardState(2, Optional.empty()), Optional.of(snapshot), List.of(old)));
        for (int tick = 0; tick < 25 && log.role() == ReplicatedLog.Role.FOLLOWER; tick++) {
            log.tick();
        }
        log.receive(new Envelope(other, self, new LogMessage.Vote(3, true, true)));
        log.ready();
        log.persisted(0, 0);
        log.receive(new Envelope(other, self, new LogMessage.Vote(3, false, true)));
        assertEquals(ReplicatedLog.Role.LEADER, log.role());

        log.receive(new Envelope(other, self, new LogMessage.Appended(3, true, 2, 0, 0)));
        log.ready();
        log.persisted(3, 3);

        assertEquals(1, log.commitIndex());
        log.receive(new Envelope(other, self, new LogMessage.Appended(3, true, 3, 0, 0)));
        assertEquals(3, log.commitIndex());
    }

    // Under load, entries are committed faster than the answers of a learner arrive. A comparison with the current
    // commit index therefore never allowed its promotion.
    @Test
    void shouldCountLearnerAsCaughtUpWhenItIsOneHeartbeatBehind() {
        Node leader = leader();
        Node learner = cluster.add("learner", 9);
        leader.change(new MembershipChange.AddLearner(LogCluster.member("learner", 9)));
        cluster.run(20);
        cluster.isolated.add("learner");
        cluster.propose();
        cluster.run(1);

        assertTrue(leader.log.matchIndex(learner.id).orElseThrow() < leader.log.commitIndex());
        assertTrue(leader.log.isCaughtUp(learner.id));

        cluster.run(6);

        assertFalse(leader.log.isCaughtUp(learner.id), "caught up although several heartbeats behind");
    }

    @Test
    void shouldNotDisruptLeaderWhenOneMemberRestarts() {
        Node leader = leader();
        long term = leader.log.term();
        follower().crash();
        cluster.run(50);

        assertEquals(leader, leader());
        assertEquals(term, leader.log.term());
    }
}
