package io.rosemarybeam.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import io.rosemarybeam.common.metric.Metrics;
import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.ReplicatedLog;
import io.rosemarybeam.control.LogDriver;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.forward.Forwarder;

/**
 * Provides the metrics and the state dump of a store process.
 *
 * <p>Confined to the event loop of the process, on which the admin server calls it.
 */
final class StoreReport {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final LogDriver driver;
    private final StoreState state;
    private final StateBudget budget;
    private final EndpointDirectory directory;
    private final ProcessView process;

    /** The state of the process that is reported. */
    interface ProcessView {
        /** Returns the version of the configuration in use, or -1 if there is none. */
        long configurationVersion();

        /** Returns the leader if this host leads. */
        Optional<StoreLeader> leader();

        /** Returns the number of connected edges. */
        int edges();

        /** Returns the number of calls of operators, endpoints and trainers without a complete answer. */
        int openCalls();
    }

    StoreReport(
            LogDriver driver, StoreState state, StateBudget budget, EndpointDirectory directory, ProcessView process) {
        this.driver = driver;
        this.state = state;
        this.budget = budget;
        this.directory = directory;
        this.process = process;
    }

    void register(Metrics metrics) {
        metrics.computedGauge(
                "store_term", "Term of the replicated log.", () -> driver.log().term());
        metrics.computedGauge(
                "store_leads",
                "1 while this host leads, else 0.",
                () -> process.leader().map(leading -> 1).orElse(0));
        metrics.computedCounter("store_applied_entries", "Last applied entry of the log.", driver::applied);
        metrics.computedGauge(
                "store_commit_index",
                "Last entry that this host knows to be committed.",
                () -> driver.log().commitIndex());
        metrics.computedGauge(
                "store_log_index",
                "Last entry that this host holds.",
                () -> driver.log().lastIndex());
        metrics.computedGauge(
                "store_members_behind",
                "Members that lack committed entries, as the leader sees it.",
                this::membersBehind);
        metrics.computedGauge(
                "store_majority_age_seconds",
                "Age of the last word of a majority that this host leads; -1 while it does not lead.",
                () -> driver.majorityAge() == Long.MAX_VALUE ? -1 : driver.majorityAge() / MILLISECONDS_PER_SECOND);
        metrics.computedGauge(
                "store_snapshot_bytes",
                "Size of the last snapshot that this process has stored; -1 if it has stored none.",
                () -> driver.storedSnapshotBytes().orElse(-1));
        metrics.computedGauge(
                "store_snapshot_age_seconds",
                "Time since this process has stored a snapshot; -1 if it has stored none.",
                () -> driver.storedSnapshotAge().isPresent()
                        ? driver.storedSnapshotAge().getAsLong() / MILLISECONDS_PER_SECOND
                        : -1);
        metrics.computedGauge(
                "store_state_bytes",
                "Estimated size of the stored state on the heap, with what its open items will add.",
                state::expectedBytes);
        budget.register(metrics);
        metrics.computedGauge(
                "endpoint_view_age_seconds",
                "Time since the last heartbeat of the ready endpoint that was heard longest ago.",
                () -> directory.longestSilence(Forwarder.now()) / MILLISECONDS_PER_SECOND);
        metrics.computedGauge(
                "open_items",
                "Items of submissions that the leader has not listed.",
                () -> process.leader().map(StoreLeader::openItems).orElse(0));
        metrics.computedGauge(
                "waiting_items",
                "Items that wait for a slot, as the leader sees it.",
                () -> process.leader().map(StoreLeader::waitingItems).orElse(0));
        metrics.computedGauge(
                "waiting_scorer_calls",
                "Scorer calls that wait in the leader for room at endpoints that callers use too.",
                () -> process.leader().map(StoreLeader::waitingScorerCalls).orElse(0));
        metrics.computedGauge(
                "ordered_replicas",
                "Replicas in the last orders of the leader for services with a scaling policy.",
                () -> process.leader().map(StoreLeader::orderedReplicas).orElse(0));
        metrics.computedGauge(
                "announced_replicas",
                "Ready replicas of services with a scaling policy, as the leader sees them.",
                () -> process.leader().map(StoreLeader::announcedReplicas).orElse(0));
    }

    private long membersBehind() {
        ReplicatedLog log = driver.log();
        return process.leader().isEmpty()
                ? 0
                : log.membership().members().stream()
                        .map(Member::id)
                        .filter(id -> !id.equals(log.self()) && !log.isCaughtUp(id))
                        .count();
    }

    CompletableFuture<String> dump() {
        ReplicatedLog log = driver.log();
        String text = "{\"member\": \"" + log.self() + "\", \"role\": \"" + log.role() + "\", \"term\": " + log.term()
                + ", \"commit\": " + log.commitIndex() + ", \"applied\": " + driver.applied() + ", \"voters\": "
                + identities(log.membership().voters()) + ", \"learners\": "
                + identities(log.membership().learners()) + ", \"configuration\": "
                + process.configurationVersion() + ", \"submissions\": "
                + state.submissions().size() + ", \"stateBytes\": " + state.expectedBytes()
                + ", \"stateBudgetBytes\": " + budget.maximumBytes() + ", \"refusedSubmissions\": "
                + budget.refusedSubmissions() + ", \"openItems\": "
                + process.leader().map(StoreLeader::openItems).orElse(0) + ", \"edges\": " + process.edges()
                + ", \"openCalls\": " + process.openCalls() + "}";
        return CompletableFuture.completedFuture(text);
    }

    private static String identities(List<Member> members) {
        return members.stream().map(member -> "\"" + member.id() + "\"").collect(Collectors.joining(", ", "[", "]"));
    }
}
