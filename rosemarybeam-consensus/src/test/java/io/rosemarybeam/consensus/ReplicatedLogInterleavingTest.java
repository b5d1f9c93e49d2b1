package io.rosemarybeam.consensus;

import java.util.List;

import io.rosemarybeam.consensus.LogCluster.Node;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against two leaders in one term, diverging logs, changed or lost committed entries and stale reads, while messages
 * are reordered, lost and duplicated, members crash and lose unsynced data, snapshots are taken and members change.
 */
class ReplicatedLogInterleavingTest {
    private static final int STEPS = 600;
    private static final int CONVERGENCE_TICKS = 120;

    @Property(tries = 600, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void shouldRetainCommittedEntriesWhenFaultsInterleave(@ForAll long seed) {
        LogCluster cluster = new LogCluster(3, seed, LogOptions.standard(seed).withSnapshotPartBytes(4));
        for (int step = 0; step < STEPS; step++) {
            performRandomStep(cluster);
        }
        converge(cluster);
    }

    @Property(tries = 600, seed = "20261205", shrinking = ShrinkingMode.OFF)
    void shouldRetainCommittedEntriesWhenMembersChangeAndFaultsInterleave(@ForAll long seed) {
        LogCluster cluster = new LogCluster(3, seed, LogOptions.standard(seed));
        cluster.add("m4", 1);
        cluster.add("m5", 1);
        for (int step = 0; step < STEPS; step++) {
            performRandomStep(cluster);
            if (cluster.random.nextInt(12) == 0) {
                changeMember(cluster);
            }
        }
        converge(cluster);
    }

    @Property(tries = 200, seed = "20261206", shrinking = ShrinkingMode.OFF)
    void shouldRetainCommittedEntriesWhenEverySyncCarriesOneEntry(@ForAll long seed) {
        LogOptions options = LogOptions.standard(seed).withMaximumEntriesPerSync(1);
        LogCluster cluster = new LogCluster(3, seed, options);
        for (int step = 0; step < STEPS; step++) {
            performRandomStep(cluster);
        }
        converge(cluster);
    }

    /** All hosts lose power right after an acknowledgement, one of the disks is lost, and a process had just ended. */
    @Property(tries = 200, seed = "20261207", shrinking = ShrinkingMode.OFF)
    void shouldRetainAcknowledgedEntriesWhenAllHostsLosePowerAndOneDiskIsLost(@ForAll long seed) {
        LogCluster cluster = new LogCluster(3, seed, LogOptions.standard(seed));
        for (int round = 0; round < 3; round++) {
            cluster.runUntilLeader();
            writeWhileProcessesEnd(cluster);
            long acknowledged = cluster.lastCommitted();

            cluster.network.clear();
            cluster.nodes.values().forEach(Node::crash);
            String lost = randomNode(cluster).id.name();
            cluster.loseDisk(lost);
            cluster.runUntilLeader();

            Node leader = cluster.leader().orElseThrow();
            assertTrue(leader.applied >= acknowledged, leader.applied + " of " + acknowledged + " entries are left");
            replaceVoter(cluster, lost);
        }
        converge(cluster);
    }

    /** Runs the cluster with a proposal in every step, until some entries were acknowledged. */
    private static void writeWhileProcessesEnd(LogCluster cluster) {
        long first = cluster.lastCommitted();
        for (int step = 0; step < STEPS && cluster.lastCommitted() < first + 5; step++) {
            cluster.propose();
            Node node = randomNode(cluster);
            if (cluster.random.nextInt(8) == 0) {
                node.endProcess();
            } else if (cluster.random.nextBoolean()) {
                node.persist();
            }
            if (!cluster.network.isEmpty()) {
                cluster.deliver(cluster.random.nextInt(Math.min(cluster.network.size(), 8)), false);
            }
            if (cluster.random.nextInt(4) == 0) {
                node.log.tick();
                node.process();
            }
        }
    }

    /** Replaces the voter that has lost its disk by the learner of the same name. */
    private static void replaceVoter(LogCluster cluster, String name) {
        Member added = LogCluster.member(name, cluster.nodes.get(name).id.incarnation());
        Member former = LogCluster.member(name, added.id().incarnation() - 1);
        List<MembershipChange> changes = List.of(
                new MembershipChange.AddLearner(added),
                new MembershipChange.Remove(former.id()),
                new MembershipChange.Promote(added.id()));
        for (MembershipChange change : changes) {
            Node leader = cluster.leader().orElseThrow();
            leader.change(change);
            cluster.run(CONVERGENCE_TICKS);
        }
        assertTrue(cluster.leader().orElseThrow().log.membership().isVoter(added.id()), name + " is no voter");
    }

    private static Node randomNode(LogCluster cluster) {
        List<Node> nodes = List.copyOf(cluster.nodes.values());
        return nodes.get(cluster.random.nextInt(nodes.size()));
    }

    private static void performRandomStep(LogCluster cluster) {
        int choice = cluster.random.nextInt(100);
        Node node = randomNode(cluster);
        if (choice < 30) {
            node.log.tick();
            node.process();
        } else if (choice < 62 && !cluster.network.isEmpty()) {
            int position = cluster.random.nextInt(Math.min(cluster.network.size(), 8));
            cluster.deliver(position, cluster.random.nextInt(20) == 0);
        } else if (choice < 80) {
            node.persist();
        } else if (choice < 88) {
            cluster.propose();
        } else if (choice < 91 && !cluster.network.isEmpty()) {
            cluster.network.remove(cluster.random.nextInt(cluster.network.size()));
        } else if (choice < 93) {
            node.crash();
        } else if (choice < 95) {
            node.compact();
        } else if (choice < 97) {
            cluster.read(node);
        } else if (choice < 98) {
            cluster.isolated.add(node.id.name());
        } else {
            cluster.isolated.clear();
        }
    }

    private static void changeMember(LogCluster cluster) {
        cluster.leader().ifPresent(leader -> {
            Node subject = randomNode(cluster);
            boolean isVoter = leader.log.membership().isVoter(subject.id);
            if (isVoter && leader.log.membership().voters().size() > 2) {
                leader.change(new MembershipChange.Remove(subject.id));
            } else if (leader.log.membership().isLearner(subject.id)) {
                leader.change(new MembershipChange.Promote(subject.id));
            } else if (!isVoter) {
                leader.change(new MembershipChange.AddLearner(
                        LogCluster.member(subject.id.name(), subject.id.incarnation())));
            }
        });
    }

    /** Checks that after the faults end a leader is elected, entries are committed and all members catch up. */
    private static void converge(LogCluster cluster) {
        cluster.isolated.clear();
        cluster.network.clear();
        cluster.runUntilLeader();
        cluster.propose();
        cluster.run(CONVERGENCE_TICKS);
        cluster.checkLogsMatch();
        Node leader = cluster.leader().orElseThrow();
        assertTrue(cluster.committedEntries() > 0, "nothing was committed");
        for (Member member : leader.log.membership().members()) {
            Node node = cluster.nodes.get(member.id().name());
            assertTrue(node.applied == leader.applied, node.id + " applied " + node.applied + " of " + leader.applied);
        }
    }
}
