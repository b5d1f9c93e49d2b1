package io.rosemarybeam.decision.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.WorkspaceName;
import io.rosemarybeam.common.wire.EndpointRateLimit;
import io.rosemarybeam.decision.fairness.WorkspaceShares;
import io.rosemarybeam.decision.routing.PermitDecision.Denied;
import io.rosemarybeam.decision.routing.PermitDecision.Granted;

/**
 * Grants permits for requests to endpoints with a rate limit, for all hosts together.
 *
 * <p>Load pattern: endpoints take a few requests per second in total while many hosts press beyond that. Each endpoint has a
 * token bucket. A request waits for a token only if it will get one in time, so the queue is bounded by the rate times the
 * longest wait; the others are denied at once. Waiting requests are ordered by priority, then by the time at which they must
 * start, so that a request that can wait long is overtaken but not forgotten. If requests of equal priority and of several
 * workspaces wait, the workspace with the fewest permits in the last 10 s goes first.
 *
 * <p>Invariants: in any interval an endpoint gets at most its rate times the interval plus {@link #burst} requests, control
 * calls aside, which delay later requests instead; each request gets exactly one decision. Times are monotonic times in
 * milliseconds. Confined to one thread.
 */
public final class PermitQueue {
    /** Time whose requests may be sent at once after a pause, in seconds. */
    private static final double BURST_SECONDS = 0.5;

    /**
     * Lowest rate at which requests are sent, per second; only an answer shows that the endpoint has withdrawn a limit of 0.
     */
    private static final double MINIMUM_RATE = 0.1;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /**
     * Time over which requests that were denied together are asked to return, in milliseconds; most callers give up soon, and
     * then their turn is free.
     */
    private static final long MAXIMUM_RETURN_MILLISECONDS = 1_000;

    /** Absorbs rounding errors of the token counts. */
    private static final double EPSILON = 1e-6;

    private final Map<EndpointId, Bucket> buckets = new HashMap<>();
    private final TreeSet<Waiting> waiting =
            new TreeSet<>(Comparator.<Waiting>comparingInt(entry -> entry.request.priority())
                    .thenComparingLong(entry -> entry.latestStart)
                    .thenComparingLong(entry -> entry.number));

    private final WorkspaceShares shares = new WorkspaceShares();

    private long nextNumber;

    /** Tokens of one endpoint. */
    private static final class Bucket {
        private double rate;
        private double tokens;
        private long updatedAt;

        /** Time until which denied requests were asked to stay away, so that they return one after the other. */
        private double returnsUntil;

        private void refill(long now) {
            double elapsed = Math.max(0, now - updatedAt) / MILLISECONDS_PER_SECOND;
            tokens = Math.min(burst(rate), tokens + elapsed * rate);
            updatedAt = Math.max(updatedAt, now);
        }

        private boolean hasToken() {
            return tokens >= 1 - EPSILON;
        }

        /** Returns the time until the bucket has a token, in milliseconds. */
        private double untilNextToken() {
            return Math.max(0, 1 - tokens) / rate * MILLISECONDS_PER_SECOND;
        }
    }

    /** A request that waits for a token. Immutable. */
    private record Waiting(PermitRequest request, long latestStart, long number, Consumer<PermitDecision> onDecision) {
        private Optional<WorkspaceName> workspace() {
            return request.workspace();
        }
    }

    /**
     * Returns how many requests an endpoint may get at once.
     *
     * @param rate its limit, in requests per second
     * @return the capacity of its token bucket
     */
    public static double burst(double rate) {
        return Math.max(1, BURST_SECONDS * rate);
    }

    /**
     * Applies a new, changed or withdrawn limit. A new one starts without tokens, because requests were sent just before.
     *
     * @param limit the limit
     * @param now current time
     */
    public void setLimit(EndpointRateLimit limit, long now) {
        if (!limit.isLimited()) {
            buckets.remove(limit.endpoint());
        } else {
            Bucket bucket = buckets.computeIfAbsent(limit.endpoint(), ignored -> new Bucket());
            bucket.refill(now);
            bucket.rate = Math.max(MINIMUM_RATE, limit.requestsPerSecond());
        }
        advance(now);
    }

    /**
     * Requests a permit.
     *
     * @param request what is asked for
     * @param now current time
     * @param onDecision called once, possibly before this method returns
     */
    public void request(PermitRequest request, long now, Consumer<PermitDecision> onDecision) {
        advance(now);
        Optional<EndpointId> granted = takeToken(request.candidates(), now);
        if (granted.isPresent()) {
            shares.recordStart(request.workspace(), 1, now);
            onDecision.accept(new Granted(granted.get()));
            return;
        }
        Waiting entry = new Waiting(request, now + request.maximumWaitMilliseconds(), nextNumber++, onDecision);
        double expectedWait = expectedWait(entry, now);
        if (expectedWait > request.maximumWaitMilliseconds()) {
            onDecision.accept(denied(request, expectedWait, now));
        } else {
            waiting.add(entry);
        }
    }

    /** Returns the time until an entry gets a token, in milliseconds, if no more urgent request arrives. */
    private double expectedWait(Waiting entry, long now) {
        double tokens = 0;
        double rate = 0;
        double nextToken = Double.POSITIVE_INFINITY;
        for (EndpointId candidate : entry.request.candidates()) {
            Bucket bucket = buckets.get(candidate);
            bucket.refill(now);
            tokens += bucket.tokens;
            rate += bucket.rate;
            nextToken = Math.min(nextToken, bucket.untilNextToken());
        }
        TreeSet<Waiting> withEntry = new TreeSet<>(waiting);
        withEntry.add(entry);
        long ahead = inOrder(withEntry, now).stream()
                .takeWhile(other -> other != entry)
                .filter(other -> other.request.candidates().stream().anyMatch(entry.request.candidates()::contains))
                .count();
        return Math.max(nextToken, (ahead + 1 - tokens) / rate * MILLISECONDS_PER_SECOND);
    }

    /** Interleaves the requests of each priority by workspace. */
    private List<Waiting> inOrder(SortedSet<Waiting> entries, long now) {
        boolean isShared =
                entries.stream().map(Waiting::workspace).distinct().limit(2).count() > 1;
        if (!isShared) {
            return List.copyOf(entries);
        }
        Map<Integer, List<Waiting>> byPriority = new TreeMap<>();
        entries.forEach(entry -> byPriority
                .computeIfAbsent(entry.request().priority(), ignored -> new ArrayList<>())
                .add(entry));
        return byPriority.values().stream()
                .flatMap(equal -> shares.interleave(equal, Waiting::workspace, entry -> 1, now).stream())
                .toList();
    }

    private Denied denied(PermitRequest request, double expectedWait, long now) {
        List<Bucket> limited = request.candidates().stream()
                .map(buckets::get)
                .filter(Objects::nonNull)
                .toList();
        double rate = limited.stream().mapToDouble(bucket -> bucket.rate).sum();
        if (rate == 0) {
            return new Denied(0, 0);
        }
        double interval = MILLISECONDS_PER_SECOND / rate;
        double earliest = now + Math.max(interval, expectedWait - request.maximumWaitMilliseconds());
        double afterOthers = limited.stream()
                        .mapToDouble(bucket -> bucket.returnsUntil)
                        .max()
                        .orElse(0)
                + interval;
        double returnAt = Math.max(earliest, Math.min(afterOthers, now + MAXIMUM_RETURN_MILLISECONDS));
        limited.forEach(bucket -> bucket.returnsUntil = returnAt);
        return new Denied((long) Math.ceil(expectedWait), (long) Math.ceil(returnAt - now));
    }

    private Optional<EndpointId> takeToken(List<EndpointId> candidates, long now) {
        for (EndpointId candidate : candidates) {
            Bucket bucket = buckets.get(candidate);
            if (bucket == null) {
                return Optional.of(candidate);
            }
            bucket.refill(now);
            if (bucket.hasToken()) {
                bucket.tokens -= 1;
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a request that does not wait may be sent to an endpoint now.
     *
     * @param endpoint the endpoint
     * @param now current time
     * @return true if it has no limit, or a token that no waiting request will use
     */
    public boolean isAvailable(EndpointId endpoint, long now) {
        Bucket bucket = buckets.get(endpoint);
        if (bucket == null) {
            return true;
        }
        bucket.refill(now);
        return bucket.hasToken()
                && waiting.stream()
                        .noneMatch(entry -> entry.request.candidates().contains(endpoint));
    }

    /**
     * Records a request that is sent without waiting. A call that cannot be delayed may be recorded without a token too; it
     * then delays later requests.
     *
     * @param endpoint the endpoint
     * @param now current time
     */
    public void recordSent(EndpointId endpoint, long now) {
        Bucket bucket = buckets.get(endpoint);
        if (bucket != null) {
            bucket.refill(now);
            bucket.tokens -= 1;
        }
    }

    /**
     * Grants the tokens that have become available, and denies the requests that can no longer be answered in time.
     *
     * @param now current time
     */
    public void advance(long now) {
        for (Waiting entry : inOrder(waiting, now)) {
            if (!waiting.contains(entry)) {
                // A decision made by this loop led to another one.
                continue;
            }
            if (entry.latestStart < now) {
                waiting.remove(entry);
                entry.onDecision.accept(denied(entry.request, 0, now));
                continue;
            }
            takeToken(entry.request.candidates(), now).ifPresent(endpoint -> {
                waiting.remove(entry);
                shares.recordStart(entry.workspace(), 1, now);
                entry.onDecision.accept(new Granted(endpoint));
            });
        }
    }

    /**
     * Returns when {@link #advance} has something to do.
     *
     * @param now current time
     * @return the time of the next token that a waiting request needs, or of its latest start; empty if none waits
     */
    public OptionalLong nextDecisionAt(long now) {
        return waiting.stream().mapToLong(entry -> nextDecisionAt(entry, now)).min();
    }

    private long nextDecisionAt(Waiting entry, long now) {
        long next = entry.latestStart + 1;
        for (EndpointId candidate : entry.request.candidates()) {
            Bucket bucket = buckets.get(candidate);
            if (bucket == null) {
                return now;
            }
            bucket.refill(now);
            next = Math.min(next, now + (long) Math.ceil(bucket.untilNextToken()));
        }
        return next;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the length of the queue
     */
    public int waiting() {
        return waiting.size();
    }

    /** Denies all waiting requests, because this host no longer grants permits. */
    public void close() {
        List<Waiting> denied = List.copyOf(waiting);
        waiting.clear();
        denied.forEach(entry -> entry.onDecision.accept(new Denied(0, 0)));
    }
}
