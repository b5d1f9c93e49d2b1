package io.rosemarybeam.decision.fairness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

import io.rosemarybeam.common.id.WorkspaceName;

/**
 * The service that each workspace has attained in the last 10 s, all with equal weights, and the order of waiting work that
 * follows from it.
 *
 * <p>Load pattern: dozens of workspaces of very unequal size, one of which sends ten times its share. Work without a workspace
 * counts as that of one more workspace. Invariant: work of one workspace is never reordered. Confined to one thread.
 */
public final class WorkspaceShares {
    /** Long enough for a step of a trainer, short enough to forget a burst soon, in milliseconds. */
    private static final long WINDOW_MILLISECONDS = 10_000;

    private final Map<Optional<WorkspaceName>, AttainedService> services = new HashMap<>();

    /** The waiting work of a workspace while an order is computed. */
    private static final class Turn<T> {
        private final int position;
        private final Deque<T> waiting = new ArrayDeque<>();
        private double attained;

        private Turn(int position, double attained) {
            this.position = position;
            this.attained = attained;
        }
    }

    /**
     * Records that work of a workspace was started.
     *
     * @param workspace the workspace, if any
     * @param amount its expected size
     * @param now monotonic time, in milliseconds
     */
    public void recordStart(Optional<WorkspaceName> workspace, double amount, long now) {
        services.computeIfAbsent(workspace, ignored -> AttainedService.ofWindow(WINDOW_MILLISECONDS))
                .charge(amount, now);
    }

    /**
     * Interleaves waiting work so that the workspace with the least attained service goes first, what is put before other work
     * included.
     *
     * @param <T> the caller's type of work
     * @param ordered the work in the order that holds within a workspace, and in all if there is only one workspace
     * @param workspace the workspace of a piece of work
     * @param amount the expected size of a piece of work, in the unit of {@link #recordStart}
     * @param now monotonic time, in milliseconds
     * @return the same work
     */
    public <T> List<T> interleave(
            List<T> ordered, Function<T, Optional<WorkspaceName>> workspace, ToDoubleFunction<T> amount, long now) {
        Map<Optional<WorkspaceName>, Turn<T>> turns = new LinkedHashMap<>();
        for (T work : ordered) {
            turns.computeIfAbsent(workspace.apply(work), name -> new Turn<>(turns.size(), attained(name, now)))
                    .waiting
                    .add(work);
        }
        if (turns.size() <= 1) {
            return ordered;
        }
        services.values().removeIf(service -> service.total(now) == 0);
        PriorityQueue<Turn<T>> next = new PriorityQueue<>(
                Comparator.<Turn<T>>comparingDouble(turn -> turn.attained).thenComparingInt(turn -> turn.position));
        next.addAll(turns.values());
        List<T> interleaved = new ArrayList<>(ordered.size());
        while (!next.isEmpty()) {
            Turn<T> turn = next.remove();
            T work = turn.waiting.removeFirst();
            interleaved.add(work);
            turn.attained += amount.applyAsDouble(work);
            if (!turn.waiting.isEmpty()) {
                next.add(turn);
            }
        }
        return interleaved;
    }

    private double attained(Optional<WorkspaceName> workspace, long now) {
        AttainedService service = services.get(workspace);
        return service == null ? 0 : service.total(now);
    }
}
