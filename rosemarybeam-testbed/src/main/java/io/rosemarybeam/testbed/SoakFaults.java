package io.rosemarybeam.testbed;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Phaser;
import java.util.stream.Collectors;

/**
 * Injects faults from outside the processes: signals, restarts, configurations, and endpoints that crash or misbehave. Faults
 * come in series and overlap.
 *
 * <p>Invariant: at most half of the edges are affected at a time, and at most a minority of the store hosts, except while the
 * series of store faults takes their majority. The seed decides
 * which faults are started when; how they meet the traffic differs from run to run. {@link #run} is confined to one thread.
 */
final class SoakFaults {
    private static final int MAXIMUM_GAP_MILLISECONDS = 900;
    /** Longer than four heartbeat intervals, after which a store host takes an endpoint for silent. */
    private static final long OUTAGE_MILLISECONDS = 6_000;

    /** Longer than the 3 s from which a limit holds and the 4 s in which requests are counted. */
    private static final int MINIMUM_LIMIT_MILLISECONDS = 8_000;

    private static final int MAXIMUM_LIMIT_EXTENSION_MILLISECONDS = 3_000;

    private static final List<SoakEndpoint.Fault> MISBEHAVIOURS = List.of(
            SoakEndpoint.Fault.LOST_ANSWER,
            SoakEndpoint.Fault.NO_DIGEST,
            SoakEndpoint.Fault.BROKEN_OFF,
            SoakEndpoint.Fault.BROKEN_OFF);

    /** Interval at which single answers break off beside all other faults, in milliseconds. */
    private static final long BREAK_INTERVAL_MILLISECONDS = 60;

    private static final int CATCH_UP_MILLISECONDS = 3_000;

    /** Longer than the 2.5 s after which another host leads, and than the 3 s after which {@link SoakEnds} reports work. */
    private static final int MINIMUM_DISTURBANCE_MILLISECONDS = 3_500;

    private static final int MAXIMUM_EXTENSION_MILLISECONDS = 3_000;

    /** Time in which padded submissions make the log longer than the part of it that is retained. */
    private static final int SNAPSHOT_MILLISECONDS = 8_000;

    private static final int RESTART_MILLISECONDS = 1_200;
    private static final int SERIES_RETRY_MILLISECONDS = 50;

    /** Room for the other faults of store hosts between two of the series. */
    private static final int MAXIMUM_SERIES_GAP_MILLISECONDS = 4_000;

    /** Longer than several elections and the restart of a majority. */
    private static final long LEADER_TIMEOUT_MILLISECONDS = 30_000;

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

    private final SoakDeployment deployment;
    private final SoakReport report;
    private final long seed;
    private final Random random;
    private final SoakEndings endings;
    private final Set<String> affected = ConcurrentHashMap.newKeySet();

    /** Has one party for each fault in progress, and one for the thread that waits for their end. */
    private final Phaser inProgress = new Phaser(1);

    private int configuration = 1;

    /** How the series of store faults disturbs store hosts, in its order. */
    private enum StoreFault {
        LEADER_PAUSED,
        FOLLOWER_BEHIND,
        MAJORITY_PAUSED,
        KILLED_REPEATEDLY,
        MAJORITY_KILLED
    }

    SoakFaults(SoakDeployment deployment, SoakReport report, long seed, SoakEndings endings) {
        this.deployment = deployment;
        this.report = report;
        this.seed = seed;
        this.random = new Random(seed);
        this.endings = endings;
    }

    /** Starts faults for the given time and waits until all of them are over. */
    void run(long milliseconds) {
        long end = SoakReport.now() + milliseconds;
        start(() -> nameLimits(end));
        start(() -> breakAnswersOff(end));
        start(() -> disturbStores(end));
        while (SoakReport.now() < end) {
            startOne();
            SoakTraffic.pause(random.nextInt(MAXIMUM_GAP_MILLISECONDS));
        }
        inProgress.arriveAndAwaitAdvance();
    }

    private void startOne() {
        int edge = random.nextInt(deployment.edges());
        int store = random.nextInt(deployment.stores());
        int pause = 200 + random.nextInt(2_000);
        switch (random.nextInt(11)) {
            case 0 -> affectEdge(edge, "edge stopped", () -> terminate(SoakDeployment.edge(edge)), true);
            case 1 -> affectEdge(edge, "edge killed", () -> kill(SoakDeployment.edge(edge), pause), true);
            case 2 -> affectEdge(edge, "edge frozen", () -> freeze(SoakDeployment.edge(edge), pause), false);
            case 3 -> affectStore(store, "store stopped", () -> terminate(SoakDeployment.store(store)), true);
            case 4 -> affectStore(store, "store killed", () -> kill(SoakDeployment.store(store), pause), true);
            case 5 -> affectStore(store, "store frozen", () -> freeze(SoakDeployment.store(store), pause), false);
            case 6 -> changeConfiguration();
            case 7 -> misbehave();
            case 8 -> loseService();
            default -> crashEndpoints(pause);
        }
    }

    private void affectEdge(int edge, String fault, Runnable action, boolean restart) {
        affect(Set.of(SoakDeployment.edge(edge)), "edge-", deployment.edges() / 2, fault, () -> {
            action.run();
            if (restart) {
                deployment.startEdge(edge);
                SoakTraffic.pause(1_500);
            }
        });
    }

    private void affectStore(int store, String fault, Runnable action, boolean restart) {
        affect(Set.of(SoakDeployment.store(store)), "store-", (Math.min(deployment.stores(), 3) - 1) / 2, fault, () -> {
            action.run();
            if (restart) {
                deployment.startStore(store, false);
            }
            // The next store host is affected only when this one has caught up.
            SoakTraffic.pause(CATCH_UP_MILLISECONDS);
        });
    }

    private boolean affect(Set<String> names, String kind, int maximum, String fault, Runnable action) {
        if (!reserve(names, kind, maximum)) {
            return false;
        }
        report.count("faults: " + fault);
        report.ends().disturbanceBegan();
        start(() -> {
            action.run();
            affected.removeAll(names);
            report.ends().disturbanceEnded(SoakReport.now());
        });
        return true;
    }

    private synchronized boolean reserve(Set<String> names, String kind, int maximum) {
        long sameKind =
                affected.stream().filter(other -> other.startsWith(kind)).count();
        boolean mayAffect = sameKind + names.size() <= maximum && names.stream().noneMatch(affected::contains);
        return mayAffect && affected.addAll(names);
    }

    /** Disturbs store hosts one way after the other, beside all other faults. The seed decides the first. */
    private void disturbStores(long end) {
        Random stores = new Random(seed * 71);
        StoreFault[] faults = StoreFault.values();
        for (int count = 0; SoakReport.now() < end; count++) {
            StoreFault fault = faults[Math.floorMod(seed - 1 + count, faults.length)];
            int duration = MINIMUM_DISTURBANCE_MILLISECONDS + stores.nextInt(MAXIMUM_EXTENSION_MILLISECONDS);
            CountDownLatch over = new CountDownLatch(1);
            int any = stores.nextInt(deployment.stores());
            long deadline = SoakReport.now() + LEADER_TIMEOUT_MILLISECONDS;
            while (!startStoreFault(fault, duration, any, over)) {
                SoakTraffic.pause(SERIES_RETRY_MILLISECONDS);
                if (SoakReport.now() > deadline) {
                    report.violation(
                            "no store host led, or one was disturbed, for " + LEADER_TIMEOUT_MILLISECONDS + " ms");
                    return;
                }
            }
            try {
                over.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
            SoakTraffic.pause(stores.nextInt(MAXIMUM_SERIES_GAP_MILLISECONDS));
        }
    }

    private boolean startStoreFault(StoreFault fault, int duration, int any, CountDownLatch over) {
        OptionalInt leader = deployment.leadingStore(Set.of());
        if (leader.isEmpty()) {
            return false;
        }
        int next = (leader.getAsInt() + 1) % deployment.stores();
        List<Integer> majority = List.of(leader.getAsInt(), next);
        return switch (fault) {
            case LEADER_PAUSED ->
                affectStores(
                        List.of(leader.getAsInt()),
                        "leader paused",
                        over,
                        () -> pauseLeader(leader.getAsInt(), duration));
            case FOLLOWER_BEHIND ->
                affectStores(List.of(next), "follower down until it needs a snapshot", over, () -> {
                    endings.setPadded(true);
                    kill(SoakDeployment.store(next), SNAPSHOT_MILLISECONDS);
                    deployment.startStore(next, false);
                    endings.setPadded(false);
                });
            case MAJORITY_PAUSED ->
                affectStores(majority, "majority of the stores paused", over, () -> {
                    majority.forEach(store -> deployment.processes().signal(SoakDeployment.store(store), "STOP"));
                    SoakTraffic.pause(duration);
                    majority.forEach(store -> deployment.processes().signal(SoakDeployment.store(store), "CONT"));
                });
            case KILLED_REPEATEDLY ->
                affectStores(List.of(any), "store killed three times in a row", over, () -> {
                    for (int count = 0; count < 3; count++) {
                        kill(SoakDeployment.store(any), RESTART_MILLISECONDS);
                        deployment.startStore(any, false);
                        SoakTraffic.pause(RESTART_MILLISECONDS);
                    }
                });
            case MAJORITY_KILLED ->
                affectStores(majority, "majority of the stores killed", over, () -> {
                    majority.forEach(store -> deployment.processes().kill(SoakDeployment.store(store)));
                    SoakTraffic.pause(duration / 2);
                    majority.forEach(store -> deployment.startStore(store, false));
                });
        };
    }

    /** Pauses a leader until another host has led for the given time and has acknowledged ends. */
    private void pauseLeader(int leader, int milliseconds) {
        deployment.processes().signal(SoakDeployment.store(leader), "STOP");
        long deadline = SoakReport.now() + LEADER_TIMEOUT_MILLISECONDS;
        while (deployment.leadingStore(Set.of(leader)).isEmpty() && SoakReport.now() < deadline) {
            SoakTraffic.pause(SERIES_RETRY_MILLISECONDS);
        }
        SoakTraffic.pause(milliseconds);
        deployment.processes().signal(SoakDeployment.store(leader), "CONT");
    }

    /** Affects store hosts while no other one is affected; returns false if one is. */
    private boolean affectStores(List<Integer> stores, String fault, CountDownLatch over, Runnable action) {
        Set<String> names = stores.stream().map(SoakDeployment::store).collect(Collectors.toUnmodifiableSet());
        return affect(names, "store-", stores.size(), fault, () -> {
            try {
                action.run();
                SoakTraffic.pause(CATCH_UP_MILLISECONDS);
            } finally {
                over.countDown();
            }
        });
    }

    private void start(Runnable action) {
        inProgress.register();
        Thread.ofVirtual().start(() -> {
            try {
                action.run();
            } catch (RuntimeException failure) {
                report.violation("a fault could not be ended: " + failure);
            } finally {
                inProgress.arriveAndDeregister();
            }
        });
    }

    private void terminate(String name) {
        if (!deployment.processes().stop(name, STOP_TIMEOUT)) {
            report.violation(name + " did not stop within " + STOP_TIMEOUT);
            deployment.processes().kill(name);
        }
    }

    private void kill(String name, int pause) {
        deployment.processes().kill(name);
        SoakTraffic.pause(pause);
    }

    private void freeze(String name, int pause) {
        deployment.processes().signal(name, "STOP");
        SoakTraffic.pause(pause);
        deployment.processes().signal(name, "CONT");
    }

    private void changeConfiguration() {
        configuration++;
        int version = configuration;
        int timeout = 700 + random.nextInt(500);
        report.count("faults: configuration changed");
        start(() -> deployment.configure(version, timeout));
    }

    /** Lets most endpoints of a service name rate limits, beside all other faults, and withdraw them. */
    private void nameLimits(long end) {
        Random limits = new Random(seed * 59);
        while (SoakReport.now() < end) {
            String service = limits.nextBoolean() ? SoakDeployment.DESK : SoakDeployment.ENGINES;
            List<SoakEndpoint> limited = deployment.endpoints().stream()
                    .filter(endpoint -> endpoint.service().equals(service) && limits.nextInt(4) > 0)
                    .toList();
            report.count("faults: endpoints named rate limits");
            limited.forEach(endpoint -> endpoint.nameLimit(OptionalDouble.of(1 + limits.nextInt(30) / 10.0)));
            SoakTraffic.pause(MINIMUM_LIMIT_MILLISECONDS + limits.nextInt(MAXIMUM_LIMIT_EXTENSION_MILLISECONDS));
            limited.forEach(endpoint -> endpoint.nameLimit(OptionalDouble.empty()));
            SoakTraffic.pause(limits.nextInt(MAXIMUM_LIMIT_EXTENSION_MILLISECONDS));
        }
    }

    private void breakAnswersOff(long end) {
        Random breaks = new Random(seed * 67);
        List<SoakEndpoint> endpoints = deployment.endpoints();
        while (SoakReport.now() < end) {
            endpoints.get(breaks.nextInt(endpoints.size())).misbehaveOnce(SoakEndpoint.Fault.BROKEN_OFF);
            SoakTraffic.pause(BREAK_INTERVAL_MILLISECONDS);
        }
    }

    private void misbehave() {
        List<SoakEndpoint> endpoints = deployment.endpoints();
        SoakEndpoint.Fault fault = MISBEHAVIOURS.get(random.nextInt(MISBEHAVIOURS.size()));
        for (int count = 0; count < 4; count++) {
            endpoints.get(random.nextInt(endpoints.size())).misbehaveOnce(fault);
        }
        report.count("faults: endpoints misbehaved");
    }

    /** Crashes all endpoints of one service, mostly for so long that no endpoint of it is known any more. */
    private void loseService() {
        String service = random.nextBoolean() ? SoakDeployment.DESK : SoakDeployment.ENGINES;
        if (!affected.add("service-outage")) {
            return;
        }
        report.count("faults: all endpoints of a service crashed");
        start(() -> {
            deployment.endpoints().stream()
                    .filter(endpoint -> endpoint.service().equals(service))
                    .forEach(endpoint -> endpoint.crashFor(OUTAGE_MILLISECONDS));
            SoakTraffic.pause(OUTAGE_MILLISECONDS);
            affected.remove("service-outage");
        });
    }

    /** Crashes up to three endpoints in a row, a burst that hits the same items several times. */
    private void crashEndpoints(int pause) {
        List<SoakEndpoint> endpoints = deployment.endpoints();
        int first = random.nextInt(endpoints.size());
        int count = 1 + random.nextInt(3);
        report.count("faults: endpoints crashed");
        start(() -> {
            for (int index = 0; index < count; index++) {
                endpoints.get((first + index) % endpoints.size()).crash();
                SoakTraffic.pause(pause / 4);
            }
        });
    }
}
