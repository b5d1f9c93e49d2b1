package io.rosemarybeam.decision.step;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.decision.step.SampleEntity.Status;
import io.rosemarybeam.decision.step.StepInput.BodiesFetched;
import io.rosemarybeam.decision.step.StepInput.BodiesStored;

/**
 * Copies bodies to a peer in another failure domain and fetches them back after a takeover.
 *
 * <p>Invariant: a sample goes on to its commit only after a peer confirmed the copy of exactly this body, unless no peer
 * can take it. A body is given up only after every living holder failed to return it. Confined to the thread of the core.
 */
final class BodySystem {
    private static final int MAXIMUM_BATCH = 64;

    /** Half of the frame limit of the wire protocol, since the text may grow when it is encoded. */
    private static final int MAXIMUM_BATCH_CHARACTERS = 4 * 1024 * 1024;

    private static final long TIMEOUT_MILLISECONDS = 3_000;
    private static final long PEER_BACKOFF_MILLISECONDS = 1_000;

    /** Failed copies after which a sample is committed with fewer holders, so that a cut domain stalls no step. */
    private static final int MAXIMUM_STORE_FAILURES = 3;

    /** How often all holders are asked before a body counts as lost; an unreachable holder also answers empty. */
    private static final int MAXIMUM_FETCH_ROUNDS = 3;

    private static final long FETCH_ROUND_MILLISECONDS = 1_000;

    private final StepTables tables;
    private final Map<HostName, Long> blockedUntil = new HashMap<>();

    BodySystem(StepTables tables) {
        this.tables = tables;
    }

    void stored(long now, BodiesStored stored) {
        StepEntity step = tables.steps.get(stored.step());
        if (step == null) {
            return;
        }
        if (!stored.stored()) {
            blockedUntil.put(stored.peer(), now + PEER_BACKOFF_MILLISECONDS);
        }
        for (SampleEntity sample : step.samplesWith(Status.SCORED)) {
            if (sample.commandId != stored.commandId()) {
                continue;
            }
            sample.clearCommand();
            if (stored.stored()) {
                sample.copyHolders.add(stored.peer());
                sample.failures = 0;
                step.move(sample, Status.COPIED);
            } else {
                sample.failures++;
            }
        }
    }

    void fetched(long now, BodiesFetched fetched) {
        StepEntity step = tables.steps.get(fetched.step());
        if (step == null) {
            return;
        }
        Map<Integer, SampleBody> bodies = new HashMap<>();
        fetched.bodies().forEach(body -> bodies.put(body.index(), body));
        for (SampleEntity sample : step.samplesWith(Status.FETCHING)) {
            SampleBody body = bodies.get(sample.index);
            if (SampleEntity.isBodyOf(body, sample.committed)) {
                boolean delivered = sample.delivered;
                sample.clearBody();
                sample.delivered = delivered;
                sample.body = body;
                sample.copyHolders.add(fetched.peer());
                step.move(sample, Status.COMMITTED);
            } else if (fetched.peer().equals(sample.commandPeer)) {
                sample.clearCommand();
                sample.untriedHolders.remove(fetched.peer());
            }
        }
    }

    void run(long now, List<StepCommand> commands) {
        for (StepEntity step : tables.steps.values()) {
            if (step.count(Status.SCORED) > 0) {
                store(now, step, commands);
            }
            if (step.count(Status.FETCHING) > 0) {
                fetch(now, step, commands);
            }
        }
    }

    // ---- Store ----

    private void store(long now, StepEntity step, List<StepCommand> commands) {
        Map<HostName, List<SampleEntity>> batches = new TreeMap<>();
        for (SampleEntity sample : step.samplesWith(Status.SCORED)) {
            if (sample.commandId != 0 && now < sample.commandSentAtMilliseconds + TIMEOUT_MILLISECONDS) {
                continue;
            }
            if (sample.commandId != 0) {
                blockedUntil.put(sample.commandPeer, now + PEER_BACKOFF_MILLISECONDS);
                sample.clearCommand();
                sample.failures++;
            }
            List<EntryHostRecord> peers = copyTargets(step, sample.failures >= MAXIMUM_STORE_FAILURES);
            if (peers.isEmpty()) {
                sample.failures = 0;
                step.move(sample, Status.COPIED);
                continue;
            }
            choosePeer(now, step, peers)
                    .ifPresent(peer -> batches.computeIfAbsent(peer, unused -> new ArrayList<>())
                            .add(sample));
        }
        batches.forEach((peer, samples) -> send(now, step, peer, samples, commands));
    }

    private void send(
            long now, StepEntity step, HostName peer, List<SampleEntity> samples, List<StepCommand> commands) {
        int from = 0;
        while (from < samples.size()) {
            long store = tables.nextCommandId();
            List<SampleBody> bodies = new ArrayList<>();
            long characters = 0;
            while (from < samples.size() && bodies.size() < MAXIMUM_BATCH && characters < MAXIMUM_BATCH_CHARACTERS) {
                SampleEntity sample = samples.get(from);
                sample.commandId = store;
                sample.commandSentAtMilliseconds = now;
                sample.commandPeer = peer;
                bodies.add(sample.body);
                characters += sample.body.text().length();
                from++;
            }
            commands.add(new StepCommand.StoreBodies(store, step.key, peer, List.copyOf(bodies)));
        }
    }

    /** Returns the hosts that should hold a copy: in another failure domain, or in any if there is none. */
    private List<EntryHostRecord> copyTargets(StepEntity step, boolean otherDomainsFailed) {
        List<EntryHostRecord> living = tables.hosts.values().stream()
                .filter(host -> !host.name().equals(tables.settings.entry()) && !host.draining())
                .toList();
        List<EntryHostRecord> elsewhere = living.stream()
                .filter(host -> !host.failureDomain().equals(tables.settings.failureDomain()))
                .toList();
        if (otherDomainsFailed) {
            return living.stream()
                    .filter(host -> host.failureDomain().equals(tables.settings.failureDomain())
                            && !blockedUntil.containsKey(host.name()))
                    .toList();
        }
        return elsewhere.isEmpty() ? living : elsewhere;
    }

    private Optional<HostName> choosePeer(long now, StepEntity step, List<EntryHostRecord> peers) {
        blockedUntil.values().removeIf(until -> now >= until);
        return peers.stream()
                .map(EntryHostRecord::name)
                .filter(peer -> !blockedUntil.containsKey(peer))
                .max(Comparator.comparingInt((HostName peer) -> Objects.hash(
                                step.key.trainer().value(), step.key.step().value(), peer.value()))
                        .thenComparing(Comparator.naturalOrder()));
    }

    // ---- Fetch ----

    private void fetch(long now, StepEntity step, List<StepCommand> commands) {
        Map<HostName, List<Integer>> wanted = new TreeMap<>();
        for (SampleEntity sample : step.samplesWith(Status.FETCHING)) {
            if (sample.commandId != 0 && now < sample.commandSentAtMilliseconds + TIMEOUT_MILLISECONDS) {
                continue;
            }
            if (sample.commandId != 0) {
                sample.untriedHolders.remove(sample.commandPeer);
                sample.clearCommand();
            }
            if (now < sample.notBeforeMilliseconds) {
                continue;
            }
            sample.untriedHolders.removeIf(holder -> !tables.hosts.containsKey(holder));
            if (sample.untriedHolders.isEmpty()) {
                endRound(now, step, sample, commands);
                continue;
            }
            HostName peer = sample.untriedHolders.iterator().next();
            sample.commandId = tables.nextCommandId();
            sample.commandSentAtMilliseconds = now;
            sample.commandPeer = peer;
            wanted.computeIfAbsent(peer, unused -> new ArrayList<>()).add(sample.index);
        }
        wanted.forEach(
                (peer, indexes) -> commands.add(new StepCommand.FetchBodies(step.key, peer, List.copyOf(indexes))));
    }

    private void endRound(long now, StepEntity step, SampleEntity sample, List<StepCommand> commands) {
        sample.fetchRounds++;
        List<HostName> holders = sample.committed.holders().stream()
                .filter(holder -> !holder.equals(tables.settings.entry()) && tables.hosts.containsKey(holder))
                .toList();
        if (holders.isEmpty() || sample.fetchRounds >= MAXIMUM_FETCH_ROUNDS) {
            tables.regenerate(step, sample, commands);
        } else {
            sample.untriedHolders.addAll(holders);
            sample.notBeforeMilliseconds = now + FETCH_ROUND_MILLISECONDS;
        }
    }
}
