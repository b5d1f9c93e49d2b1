package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Simulates trainers that request a step every four seconds, at most two steps ahead, on a fixed number of slots.
 *
 * <p>Lengths are log-normal, with 8% of the items five times longer; the expected length differs from the actual one by a
 * log-normal factor with a standard deviation of 0.5, about 1.6. A trainer wants its groups within 7.5 s, stops waiting after
 * 12 s, and submits incomplete groups again with a later step. Each awaited group that completes scores points, more if it is
 * in time. Confined to the thread of a test.
 */
final class StepScheduleSimulation {
    private static final int TICK_MILLISECONDS = 50;
    private static final int MILLISECONDS_PER_EVENT = 40;
    private static final int SCORING_MILLISECONDS = 250;
    private static final int STEP_INTERVAL_MILLISECONDS = 4_000;
    private static final int TARGET_MILLISECONDS = 7_500;
    private static final int STEP_TIMEOUT_MILLISECONDS = 12_000;
    private static final int TRAINING_MILLISECONDS = 1_000;
    private static final double LONG_SHARE = 0.08;
    private static final double LONG_FACTOR = 5;
    private static final double EXPECTATION_ERROR = 0.5;
    private static final double IN_TIME_SCORE = 4;
    private static final double LATE_SCORE = 1.5;

    private final Random random;
    private final int slots;
    private final Order order;
    private final List<Trainer> trainers = new ArrayList<>();
    private final List<OpenStep> open = new ArrayList<>();
    private double achievedScore;
    private double possibleScore;

    /** Decides which items start first. */
    interface Order {
        List<Generation> order(List<OpenStep> steps, int slots, long now);
    }

    /** Size and distribution of lengths of each step of a trainer. Immutable. */
    record Workload(int groups, int size, int awaited, double meanEvents, double spread, int maximumEvents) {}

    StepScheduleSimulation(long seed, int slots, Order order) {
        this.random = new Random(seed);
        this.slots = slots;
        this.order = order;
        trainers.add(new Trainer(new Workload(3, 8, 3, 18.6, 0.9, 134)));
        trainers.add(new Trainer(new Workload(11, 4, 10, 20.1, 0.84, 145)));
        trainers.add(new Trainer(new Workload(8, 4, 8, 25.5, 0.9, 184)));
    }

    /** Returns the fraction of the possible score that the trainers achieved, as the mean over ten seeds. */
    static double meanScoreFraction(int slots, int outageFrom, int outageUntil, Order order) {
        double sum = 0;
        for (int seed = 0; seed < 10; seed++) {
            sum += new StepScheduleSimulation(seed, slots, order).run(52_000, outageFrom, outageUntil);
        }
        return sum / 10;
    }

    static List<Generation> bySchedule(List<OpenStep> steps, int slots, long now) {
        List<StepSchedule.Step<Generation>> known = new ArrayList<>();
        for (OpenStep step : steps) {
            List<StepSchedule.Group<Generation>> groups = step.groups.stream()
                    .filter(group -> group.completeAt < 0)
                    .map(group -> new StepSchedule.Group<>(group.isCarriedOver, group.items(now)))
                    .toList();
            int missing = step.awaited() - (step.groups.size() - groups.size());
            known.add(new StepSchedule.Step<>(step.accepted, step.accepted + TARGET_MILLISECONDS, missing, groups));
        }
        return StepSchedule.order(known, slots, now);
    }

    static List<Generation> byArrival(List<OpenStep> steps, int slots, long now) {
        return steps.stream()
                .sorted(Comparator.comparingLong(step -> step.accepted))
                .flatMap(step -> step.groups.stream())
                .flatMap(group -> group.generations.stream())
                .filter(generation -> generation.stage == Stage.WAITING)
                .toList();
    }

    private double run(int until, int outageFrom, int outageUntil) {
        List<Generation> running = new ArrayList<>();
        for (int now = 0; now < until + STEP_TIMEOUT_MILLISECONDS + TICK_MILLISECONDS; now += TICK_MILLISECONDS) {
            boolean isOutage = now >= outageFrom && now < outageUntil;
            if (isOutage) {
                running.forEach(Generation::restart);
                running.clear();
                continue;
            }
            for (Trainer trainer : trainers) {
                trainer.request(now, until);
            }
            advance(running, now);
            for (OpenStep step : List.copyOf(open)) {
                step.endIfDone(now, running);
            }
            for (Generation next : order.order(open, slots, now)) {
                if (running.size() < slots) {
                    next.stage = Stage.RUNNING;
                    running.add(next);
                }
            }
        }
        trainers.forEach(
                trainer -> possibleScore += trainer.missedSteps(until) * trainer.workload.awaited() * IN_TIME_SCORE);
        return achievedScore / possibleScore;
    }

    private static void advance(List<Generation> running, int now) {
        for (Generation generation : List.copyOf(running)) {
            generation.ran += TICK_MILLISECONDS;
            if (generation.ran >= generation.length) {
                generation.stage = Stage.DONE;
                generation.scoredAt = now + SCORING_MILLISECONDS;
                running.remove(generation);
            }
        }
    }

    private enum Stage {
        WAITING,
        RUNNING,
        DONE
    }

    /** An item of a group. */
    static final class Generation {
        private final double length;
        private final double expected;
        private Stage stage = Stage.WAITING;
        private double ran;
        private long scoredAt;

        private Generation(Workload workload, Random random) {
            double mean = workload.meanEvents() / (1 - LONG_SHARE + LONG_SHARE * LONG_FACTOR);
            double meanLog = Math.log(mean) - workload.spread() * workload.spread() / 2;
            double events = Math.exp(meanLog + workload.spread() * random.nextGaussian())
                    * (random.nextDouble() < LONG_SHARE ? LONG_FACTOR : 1);
            double expectedEvents = events * Math.exp(EXPECTATION_ERROR * random.nextGaussian());
            length = Math.clamp(events, 1, workload.maximumEvents()) * MILLISECONDS_PER_EVENT;
            expected = Math.min(expectedEvents, workload.maximumEvents()) * MILLISECONDS_PER_EVENT;
        }

        private void restart() {
            stage = Stage.WAITING;
            ran = 0;
        }

        private StepSchedule.Item<Generation> item() {
            long remaining = stage == Stage.DONE ? 0 : (long) Math.max(20, expected - ran);
            return new StepSchedule.Item<>(this, remaining, stage == Stage.WAITING);
        }
    }

    private static final class OpenGroup {
        private final List<Generation> generations = new ArrayList<>();
        private boolean isCarriedOver;
        private long completeAt = -1;

        private List<StepSchedule.Item<Generation>> items(long now) {
            return generations.stream()
                    .filter(generation -> generation.stage != Stage.DONE || generation.scoredAt > now)
                    .map(Generation::item)
                    .toList();
        }

        private void complete(int now) {
            if (completeAt < 0 && items(now).isEmpty()) {
                completeAt = now;
            }
        }
    }

    /** A step whose trainer still waits for its groups. */
    final class OpenStep {
        private final Trainer trainer;
        private final int number;
        private final long accepted;
        private final List<OpenGroup> groups = new ArrayList<>();

        private OpenStep(Trainer trainer, int number, long accepted) {
            this.trainer = trainer;
            this.number = number;
            this.accepted = accepted;
        }

        private int awaited() {
            return trainer.workload.awaited();
        }

        private void endIfDone(int now, List<Generation> running) {
            groups.forEach(group -> group.complete(now));
            List<OpenGroup> complete = groups.stream()
                    .filter(group -> group.completeAt >= 0)
                    .sorted(Comparator.<OpenGroup, Boolean>comparing(group -> !group.isCarriedOver)
                            .thenComparingLong(group -> group.completeAt))
                    .toList();
            boolean isCarriedOverComplete =
                    groups.stream().allMatch(group -> !group.isCarriedOver || group.completeAt >= 0);
            if ((complete.size() < awaited() || !isCarriedOverComplete)
                    && now - accepted <= STEP_TIMEOUT_MILLISECONDS) {
                return;
            }
            complete.stream()
                    .limit(awaited())
                    .forEach(group -> achievedScore +=
                            group.completeAt <= accepted + TARGET_MILLISECONDS ? IN_TIME_SCORE : LATE_SCORE);
            List<OpenGroup> incomplete =
                    groups.stream().filter(group -> group.completeAt < 0).toList();
            incomplete.forEach(group -> group.generations.stream()
                    .filter(running::remove)
                    .forEach(generation -> generation.stage = Stage.WAITING));
            trainer.ended(this, incomplete, now);
            open.remove(this);
        }
    }

    private final class Trainer {
        private final Workload workload;
        private final List<OpenGroup> incompleteGroups = new ArrayList<>();
        private final List<long[]> trained = new ArrayList<>();
        private int requestedSteps;

        private Trainer(Workload workload) {
            this.workload = workload;
        }

        private void request(int now, int until) {
            boolean isVersionReady = requestedSteps < 2
                    || trained.stream().anyMatch(version -> version[0] == requestedSteps - 2 && version[1] <= now);
            if (now >= until || now < requestedSteps * STEP_INTERVAL_MILLISECONDS || !isVersionReady) {
                return;
            }
            OpenStep step = new OpenStep(this, requestedSteps, now);
            incompleteGroups.stream().limit(workload.awaited() / 2).forEach(group -> {
                group.isCarriedOver = true;
                step.groups.add(group);
            });
            incompleteGroups.clear();
            while (step.groups.size() < workload.groups()) {
                OpenGroup group = new OpenGroup();
                for (int item = 0; item < workload.size(); item++) {
                    group.generations.add(new Generation(workload, random));
                }
                step.groups.add(group);
            }
            open.add(step);
            possibleScore += workload.awaited() * IN_TIME_SCORE;
            requestedSteps++;
        }

        private void ended(OpenStep step, List<OpenGroup> incomplete, int now) {
            incompleteGroups.addAll(incomplete);
            trained.add(new long[] {step.number, now + TRAINING_MILLISECONDS});
        }

        private int missedSteps(int until) {
            return Math.max(0, until / STEP_INTERVAL_MILLISECONDS - requestedSteps);
        }
    }
}
