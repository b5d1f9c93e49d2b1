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
 * Copies sample bodies to a peer in another failure domain and fetches them back after a takeover.
 *
 * <p>Invariant: a sample is committed only after a peer confirmed the copy of exactly this body, unless no peer is available.
 * A body counts as lost only after every live holder failed to return it. Confined to the thread of the core.
 */
final class BodySystem {
    /** Maximum number of bodies per store command. */
    private static final int MAXIMUM_BATCH = 64;

    /** Half of the frame limit of the wire protocol, because a text may grow when it is encoded. */
    private static final int MAXIMUM_BATCH_CHARACTERS = 4 * 1024 * 1024;

    /** Time after which a store or fetch command without an answer counts as failed. */
    private static final long TIMEOUT_MILLISECONDS = 3_000;

    /** Time during which a peer that failed to store a body gets no further copies. */
    private static final long PEER_BACKOFF_MILLISECONDS = 1_000;

    /**
     * Failed copies after which a sample falls back to a peer in its own failure domain, or is committed without a copy, so
     * that an unreachable domain stalls no step.
     */
    private static final int MAXIMUM_STORE_FAILURES = 3;

    /**
     * Number of rounds in which all holders are queried before a body counts as lost. More than one, because an unreachable
     * holder also counts as an empty answer.
     */
    private static final int MAXIMUM_FETCH_ROUNDS = 3;

    /** Delay between two rounds of queries. */
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
            List<EntryHostRecord> targets = copyTargets(step, sample.failures >= MAXIMUM_STORE_FAILURES);
            if (targets.isEmpty()) {
                sample.failures = 0;
                step.move(sample, Status.COPIED);
                continue;
            }
            choosePeer(now, step, targets)
                    .ifPresent(peer -> batches.computeIfAbsent(peer, unused -> new ArrayList<>())
                            .add(sample));
        }
        batches.forEach((peer, samples) -> send(now, step, peer, samples, commands));
    }

    private void send(
            long now, StepEntity step, HostName peer, List<SampleEntity> samples, List<StepCommand> commands) {
        int from = 0;
        while (from < samples.size()) {
            long commandId = tables.nextCommandId();
            List<SampleBody> bodies = new ArrayList<>();
            long characters = 0;
            while (from < samples.size() && bodies.size() < MAXIMUM_BATCH && characters < MAXIMUM_BATCH_CHARACTERS) {
                SampleEntity sample = samples.get(from);
                sample.commandId = commandId;
                sample.commandSentAtMilliseconds = now;
                sample.commandPeer = peer;
                bodies.add(sample.body);
                characters += sample.body.text().length();
                from++;
            }
            commands.add(new StepCommand.StoreBodies(commandId, step.key, peer, List.copyOf(bodies)));
        }
    }

    /**
     * Returns the hosts that are candidates for a copy: those in other failure domains, or all if there are none. After too
     * many failures there, those in the own failure domain that did not fail recently.
     */
    private List<EntryHostRecord> copyTargets(StepEntity step, boolean otherDomainsFailed) {
        List<EntryHostRecord> liveHosts = tables.hosts.values().stream()
                .filter(host -> !host.name().equals(tables.settings.entry()) && !host.draining())
                .toList();
        List<EntryHostRecord> otherDomainHosts = liveHosts.stream()
                .filter(host -> !host.failureDomain().equals(tables.settings.failureDomain()))
                .toList();
        if (otherDomainsFailed) {
            return liveHosts.stream()
                    .filter(host -> host.failureDomain().equals(tables.settings.failureDomain())
                            && !blockedUntil.containsKey(host.name()))
                    .toList();
        }
        return otherDomainHosts.isEmpty() ? liveHosts : otherDomainHosts;
    }

    private Optional<HostName> choosePeer(long now, StepEntity step, List<EntryHostRecord> targets) {
        blockedUntil.values().removeIf(until -> now >= until);
        return targets.stream()
                .map(EntryHostRecord::name)
                .filter(peer -> !blockedUntil.containsKey(peer))
                .max(Comparator.comparingInt((HostName peer) -> Objects.hash(
                                step.key.trainer().value(), step.key.step().value(), peer.value()))
                        .thenComparing(Comparator.naturalOrder()));
    }

    private void fetch(long now, StepEntity step, List<StepCommand> commands) {
        Map<HostName, List<Integer>> requested = new TreeMap<>();
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
            requested.computeIfAbsent(peer, unused -> new ArrayList<>()).add(sample.index);
        }
        requested.forEach(
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
