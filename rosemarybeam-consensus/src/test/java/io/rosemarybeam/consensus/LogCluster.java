package io.rosemarybeam.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.StorageException;
import io.rosemarybeam.consensus.LogMessage.Envelope;
import io.rosemarybeam.consensus.storage.FaultyFileSystem;
import io.rosemarybeam.consensus.storage.LogStorage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A cluster of log members whose files lose unsynced data in a crash, and whose messages the test delivers, drops or
 * duplicates.
 *
 * <p>It checks throughout that all members apply the same entry at an index, that a term has one leader, and that reads are
 * not stale. Confined to the thread of the test.
 */
final class LogCluster {
    /** Entries retained before a snapshot; few, so that members that lag behind need a snapshot. */
    private static final int RETAINED_ENTRIES = 3;

    final SplittableRandom random;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final List<Envelope> network = new ArrayList<>();
    final Set<String> isolated = new TreeSet<>();
    private final LogOptions options;
    private final TreeMap<Long, String> committed = new TreeMap<>();
    private final Map<Long, Integer> stateByIndex = new HashMap<>();
    private final Map<Long, MemberId> leaderByTerm = new HashMap<>();
    private final Map<Long, Long> minimumReadIndexes = new HashMap<>();
    private long nextNumber;
    private long confirmedReads;

    LogCluster(int size, long seed, LogOptions options) {
        this.random = new SplittableRandom(seed);
        this.options = options;
        List<Member> voters = new ArrayList<>();
        for (int number = 1; number <= size; number++) {
            voters.add(member("m" + number, 1));
        }
        LogSnapshot initialSnapshot = new LogSnapshot(1, 1, new Membership(voters, List.of()), state(0));
        stateByIndex.put(1L, 0);
        for (Member voter : voters) {
            Node node = add(voter.id().name(), 1);
            node.storage.persist(
                    Optional.of(new HardState(1, Optional.empty())), Optional.of(initialSnapshot), List.of());
            node.open();
        }
    }

    static Member member(String name, long incarnation) {
        return new Member(new MemberId(name, incarnation), name + ":1");
    }

    private static byte[] state(int hash) {
        return Integer.toString(hash).getBytes();
    }

    Node add(String name, long incarnation) {
        Node node = new Node(new MemberId(name, incarnation));
        nodes.put(name, node);
        return node;
    }

    /** Replaces a member by an empty one of the same name and the next incarnation, as after the loss of its disk. */
    void loseDisk(String name) {
        long incarnation = nodes.get(name).id.incarnation() + 1;
        nodes.remove(name);
        add(name, incarnation);
    }

    Optional<Node> leader() {
        return nodes.values().stream()
                .filter(node -> node.log.role() == ReplicatedLog.Role.LEADER)
                .max((one, other) -> Long.compare(one.log.term(), other.log.term()));
    }

    long committedEntries() {
        return committed.size();
    }

    long confirmedReads() {
        return confirmedReads;
    }

    long lastCommitted() {
        return committed.isEmpty() ? 1 : committed.lastKey();
    }

    void deliver(int position, boolean duplicate) {
        Envelope envelope = duplicate ? network.get(position) : network.remove(position);
        boolean blocked = isolated.contains(envelope.from().name())
                || isolated.contains(envelope.to().name());
        Node target = nodes.get(envelope.to().name());
        if (!blocked && target != null) {
            target.log.receive(LogMessageCodec.decode(LogMessageCodec.encode(envelope)));
            target.process();
        }
    }

    /** Advances all members by a number of ticks and delivers all messages in order. */
    void run(int ticks) {
        for (int tick = 0; tick < ticks; tick++) {
            for (Node node : List.copyOf(nodes.values())) {
                node.log.tick();
                node.process();
                node.persist();
            }
            for (int message = 0; message < 2_000 && !network.isEmpty(); message++) {
                deliver(0, false);
                nodes.values().forEach(Node::persist);
            }
        }
    }

    void runUntilLeader() {
        for (int round = 0; round < 100; round++) {
            if (leader().filter(node -> node.log.hasCommittedInTerm()).isPresent()) {
                return;
            }
            run(5);
        }
        throw new AssertionError("no leader has committed an entry of its term within 500 ticks");
    }

    private void checkLeader(Node node) {
        if (node.log.role() == ReplicatedLog.Role.LEADER) {
            MemberId known = leaderByTerm.putIfAbsent(node.log.term(), node.id);
            assertTrue(known == null || known.equals(node.id), "two leaders in term " + node.log.term());
        }
    }

    void checkLogsMatch() {
        for (Node node : nodes.values()) {
            for (Node other : nodes.values()) {
                long last = Math.min(node.log.lastIndex(), other.log.lastIndex());
                boolean matchedAbove = false;
                for (long index = last; index > 0; index--) {
                    Optional<Long> firstTerm = node.log.termAt(index);
                    Optional<Long> secondTerm = other.log.termAt(index);
                    if (firstTerm.isEmpty() || secondTerm.isEmpty()) {
                        break;
                    }
                    assertTrue(
                            !matchedAbove || firstTerm.equals(secondTerm),
                            "logs differ before a common entry at " + index);
                    matchedAbove = matchedAbove || firstTerm.equals(secondTerm);
                }
            }
        }
    }

    void propose() {
        leader().ifPresent(node -> {
            nextNumber++;
            try {
                node.log.propose(("c" + nextNumber).getBytes());
            } catch (ControlException refused) {
                return;
            }
            node.process();
        });
    }

    void read(Node node) {
        nextNumber++;
        try {
            node.log.readIndex(nextNumber);
            minimumReadIndexes.put(nextNumber, lastCommitted());
        } catch (ControlException refused) {
            return;
        }
        node.process();
    }

    /** A member with its files and a state machine that hashes the applied entries. Confined to the thread of the test. */
    final class Node {
        final MemberId id;
        final FaultyFileSystem files = new FaultyFileSystem();
        LogStorage storage = LogStorage.open(files);
        ReplicatedLog log;
        long applied;
        private int hash;
        private long appliedTerm;
        private Optional<Ready> persisting = Optional.empty();
        private final List<Ready.SnapshotRead> snapshotReads = new ArrayList<>();

        Node(MemberId id) {
            this.id = id;
            open();
        }

        void open() {
            storage = LogStorage.open(files);
            DurableState durable = storage.load();
            log = new ReplicatedLog(options, id, durable);
            persisting = Optional.empty();
            snapshotReads.clear();
            applied = 0;
            durable.snapshot().ifPresent(this::install);
        }

        void crash() {
            files.crash(random);
            open();
        }

        /** Ends the process between a write and its sync, if it has anything to write, and starts it again. */
        void endProcess() {
            files.failSyncs();
            try {
                persisting.ifPresent(ready -> storage.persist(ready.hardState(), ready.snapshot(), ready.entries()));
            } catch (StorageException interrupted) {
                // The files contain what was written before the process ended.
            }
            files.endProcess();
            open();
        }

        void process() {
            while (log.hasReady()) {
                Ready ready = log.ready();
                network.addAll(ready.messages());
                if (ready.needsPersisting()) {
                    assertTrue(persisting.isEmpty(), "a second batch to persist while one is outstanding");
                    persisting = Optional.of(ready);
                }
                snapshotReads.addAll(ready.snapshotReads());
                ready.committed().forEach(this::apply);
                ready.reads().forEach(read -> {
                    assertTrue(read.index() >= minimumReadIndexes.get(read.context()), "stale read");
                    confirmedReads++;
                });
                checkLeader(this);
            }
        }

        /** Executes the tasks of the storage, in any order with the messages of the network. */
        void persist() {
            while (persisting.isPresent() || !snapshotReads.isEmpty()) {
                if (persisting.isEmpty()) {
                    readSnapshot(snapshotReads.removeFirst());
                    process();
                    continue;
                }
                Ready ready = persisting.get();
                persisting = Optional.empty();
                storage.persist(ready.hardState(), ready.snapshot(), ready.entries());
                ready.snapshot().ifPresent(this::install);
                log.persisted(0, 0);
                process();
            }
        }

        private void readSnapshot(Ready.SnapshotRead read) {
            storage.readSnapshot(read.index(), read.stateBytes(), read.offset(), read.length())
                    .ifPresent(part -> log.snapshotRead(read, part));
        }

        private void install(LogSnapshot snapshot) {
            hash = Integer.parseInt(new String(snapshot.state()));
            assertEquals(stateByIndex.get(snapshot.index()), hash, "state of snapshot " + snapshot.index());
            applied = snapshot.index();
            appliedTerm = snapshot.term();
        }

        private void apply(LogEntry entry) {
            assertEquals(applied + 1, entry.index(), "entry applied out of order");
            applied = entry.index();
            appliedTerm = entry.term();
            hash = 31 * hash + Arrays.hashCode(entry.data());
            String content = entry.term() + " " + entry.kind() + " " + Arrays.hashCode(entry.data());
            String known = committed.putIfAbsent(entry.index(), content);
            assertTrue(known == null || known.equals(content), "committed entry " + entry.index() + " changed");
            stateByIndex.put(entry.index(), hash);
        }

        void compact() {
            if (applied < 2) {
                return;
            }
            LogSnapshot snapshot = new LogSnapshot(applied, appliedTerm, log.membershipAt(applied), state(hash));
            long firstRetained = log.firstRetained(applied, RETAINED_ENTRIES, Integer.MAX_VALUE);
            if (persisting.isEmpty()) {
                storage.compact(snapshot, firstRetained);
                log.compact(snapshot, firstRetained);
            }
        }

        void change(MembershipChange change) {
            try {
                log.proposeChange(change);
                process();
            } catch (ControlException refused) {
                // A refused change has no effect. A random run may request it again.
            }
        }
    }
}
