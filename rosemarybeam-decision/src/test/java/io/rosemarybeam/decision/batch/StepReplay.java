package io.rosemarybeam.decision.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Replays trainers that ask for a step every four seconds, two steps ahead at most, on a number of slots.
 *
 * <p>Lengths are log-normal with one item in twelve five times longer; the trainer's expectation is off by a factor of 1.6 as
 * often as not. A trainer waits for its groups for 12 s, wants them within 7.5 s, and sends groups that did not complete
 * again with a later step. Confined to the thread of a test.
 */
final class StepReplay {
    private static final int TICK = 50;
    private static final int MILLISECONDS_PER_EVENT = 40;
    private static final int SCORING = 250;
    private static final int STEP_INTERVAL = 4_000;
    private static final int TARGET = 7_500;
    private static final int PATIENCE = 12_000;
    private static final int TRAINING = 1_000;
    private static final double LONG_SHARE = 0.08;
    private static final double LONG_FACTOR = 5;
    private static final double EXPECTATION_ERROR = 0.5;
    private static final double IN_TIME_WORTH = 4;
    private static final double LATE_WORTH = 1.5;

    private final Random random;
    private final int slots;
    private final Order order;
    private final List<Trainer> trainers = new ArrayList<>();
    private final List<OpenStep> open = new ArrayList<>();
    private double earned;
    private double owed;

    /** Decides which items start first. */
    interface Order {
        List<Generation> order(List<OpenStep> steps, int slots, long now);
    }

    /** The groups of one step of a trainer. Immutable. */
    record Appetite(int groups, int size, int awaited, double meanEvents, double spread, int mostEvents) {}

    StepReplay(long seed, int slots, Order order) {
        this.random = new Random(seed);
        this.slots = slots;
        this.order = order;
        trainers.add(new Trainer(new Appetite(3, 8, 3, 18.6, 0.9, 134)));
        trainers.add(new Trainer(new Appetite(11, 4, 10, 20.1, 0.84, 145)));
        trainers.add(new Trainer(new Appetite(8, 4, 8, 25.5, 0.9, 184)));
    }

    /** The mean over ten seeds of what trainers earned of what they asked for. */
    static double earnedPart(int slots, int outageFrom, int outageUntil, Order order) {
        double sum = 0;
        for (int seed = 0; seed < 10; seed++) {
            sum += new StepReplay(seed, slots, order).play(52_000, outageFrom, outageUntil);
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
            known.add(new StepSchedule.Step<>(step.accepted, step.accepted + TARGET, missing, groups));
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

    private double play(int until, int outageFrom, int outageUntil) {
        List<Generation> running = new ArrayList<>();
        for (int now = 0; now < until + PATIENCE + TICK; now += TICK) {
            boolean isDown = now >= outageFrom && now < outageUntil;
            if (isDown) {
                running.forEach(Generation::restart);
                running.clear();
                continue;
            }
            for (Trainer trainer : trainers) {
                trainer.ask(now, until);
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
        trainers.forEach(trainer -> owed += trainer.missedSteps(until) * trainer.appetite.awaited() * IN_TIME_WORTH);
        return earned / owed;
    }

    private static void advance(List<Generation> running, int now) {
        for (Generation generation : List.copyOf(running)) {
            generation.ran += TICK;
            if (generation.ran >= generation.length) {
                generation.stage = Stage.DONE;
                generation.scoredAt = now + SCORING;
                running.remove(generation);
            }
        }
    }

    private enum Stage {
        WAITING,
        RUNNING,
        DONE
    }

    /** One item. */
    static final class Generation {
        private final double length;
        private final double expected;
        private Stage stage = Stage.WAITING;
        private double ran;
        private long scoredAt;

        private Generation(Appetite appetite, Random random) {
            double usual = appetite.meanEvents() / (1 - LONG_SHARE + LONG_SHARE * LONG_FACTOR);
            double median = Math.log(usual) - appetite.spread() * appetite.spread() / 2;
            double events = Math.exp(median + appetite.spread() * random.nextGaussian())
                    * (random.nextDouble() < LONG_SHARE ? LONG_FACTOR : 1);
            double guess = events * Math.exp(EXPECTATION_ERROR * random.nextGaussian());
            length = Math.clamp(events, 1, appetite.mostEvents()) * MILLISECONDS_PER_EVENT;
            expected = Math.min(guess, appetite.mostEvents()) * MILLISECONDS_PER_EVENT;
        }

        private void restart() {
            stage = Stage.WAITING;
            ran = 0;
        }

        private StepSchedule.Item<Generation> item() {
            long left = stage == Stage.DONE ? 0 : (long) Math.max(20, expected - ran);
            return new StepSchedule.Item<>(this, left, stage == Stage.WAITING);
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

    /** A step that its trainer waits for. */
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
            return trainer.appetite.awaited();
        }

        private void endIfDone(int now, List<Generation> running) {
            groups.forEach(group -> group.complete(now));
            List<OpenGroup> complete = groups.stream()
                    .filter(group -> group.completeAt >= 0)
                    .sorted(Comparator.<OpenGroup, Boolean>comparing(group -> !group.isCarriedOver)
                            .thenComparingLong(group -> group.completeAt))
                    .toList();
            boolean hasCarriedOver = groups.stream().allMatch(group -> !group.isCarriedOver || group.completeAt >= 0);
            if ((complete.size() < awaited() || !hasCarriedOver) && now - accepted <= PATIENCE) {
                return;
            }
            complete.stream()
                    .limit(awaited())
                    .forEach(group -> earned += group.completeAt <= accepted + TARGET ? IN_TIME_WORTH : LATE_WORTH);
            List<OpenGroup> left =
                    groups.stream().filter(group -> group.completeAt < 0).toList();
            left.forEach(group -> group.generations.stream()
                    .filter(running::remove)
                    .forEach(generation -> generation.stage = Stage.WAITING));
            trainer.ended(this, left, now);
            open.remove(this);
        }
    }

    private final class Trainer {
        private final Appetite appetite;
        private final List<OpenGroup> left = new ArrayList<>();
        private final List<long[]> trained = new ArrayList<>();
        private int asked;

        private Trainer(Appetite appetite) {
            this.appetite = appetite;
        }

        private void ask(int now, int until) {
            boolean hasVersion =
                    asked < 2 || trained.stream().anyMatch(version -> version[0] == asked - 2 && version[1] <= now);
            if (now >= until || now < asked * STEP_INTERVAL || !hasVersion) {
                return;
            }
            OpenStep step = new OpenStep(this, asked, now);
            left.stream().limit(appetite.awaited() / 2).forEach(group -> {
                group.isCarriedOver = true;
                step.groups.add(group);
            });
            left.clear();
            while (step.groups.size() < appetite.groups()) {
                OpenGroup group = new OpenGroup();
                for (int item = 0; item < appetite.size(); item++) {
                    group.generations.add(new Generation(appetite, random));
                }
                step.groups.add(group);
            }
            open.add(step);
            owed += appetite.awaited() * IN_TIME_WORTH;
            asked++;
        }

        private void ended(OpenStep step, List<OpenGroup> incomplete, int now) {
            left.addAll(incomplete);
            trained.add(new long[] {step.number, now + TRAINING});
        }

        private int missedSteps(int until) {
            return Math.max(0, until / STEP_INTERVAL - asked);
        }
    }
}
