package io.rosemarybeam.decision.step;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.PeerRequest.SampleBody;
import io.rosemarybeam.common.wire.StepRecords.SampleCommit;
import io.rosemarybeam.common.wire.StepRecords.VersionSpan;

/**
 * A row of the sample table.
 *
 * <p>Invariant: a body is present in every status from {@link Status#GENERATED} to {@link Status#COMMITTED}, and the body
 * does not change while a commit of it may be in progress. Confined to the thread of the core.
 */
final class SampleEntity {
    /** Progress of a sample. The names appear as keys in state dumps. */
    enum Status {
        /** Waits to be submitted. */
        PENDING,
        /** At least one attempt runs. */
        RUNNING,
        /** Waits for its score. */
        GENERATED,
        /** Waits to be copied to a peer. */
        SCORED,
        /** Waits to be committed. */
        COPIED,
        /** Is committed, and this host holds its body. */
        COMMITTED,
        /** Is committed, and its body is being fetched from a holder. */
        FETCHING,
        /** Was acknowledged by the trainer. */
        ACKNOWLEDGED
    }

    /** One run of a sample on an endpoint. */
    static final class AttemptEntity {
        final RequestId request;
        final long startedAtMilliseconds;
        final long deadlineMilliseconds;
        final WeightVersion newestVersionAtStart;
        final boolean duplicate;
        EndpointId endpoint;
        int tokens;
        long windowStartMilliseconds;
        int windowStartTokens;

        /** Rate over the last complete window, in tokens per millisecond; negative before the first. */
        double recentRate = -1;

        AttemptEntity(
                RequestId request,
                long startedAtMilliseconds,
                long deadlineMilliseconds,
                WeightVersion newestVersionAtStart,
                boolean duplicate) {
            this.request = request;
            this.startedAtMilliseconds = startedAtMilliseconds;
            this.deadlineMilliseconds = deadlineMilliseconds;
            this.newestVersionAtStart = newestVersionAtStart;
            this.duplicate = duplicate;
        }
    }

    final int index;
    final int group;
    final String prompt;
    final int maximumTokens;
    final List<AttemptEntity> attempts = new ArrayList<>();

    /** Peers that confirmed a copy of the body. */
    final Set<HostName> copyHolders = new LinkedHashSet<>();

    /** Holders of the body that were not queried yet in this round of fetches. */
    final Set<HostName> untriedHolders = new LinkedHashSet<>();

    Status status = Status.PENDING;
    SampleBody body;
    SampleCommit committed;
    long cursor;

    /** Whether the trainer may have received the body; from then on the body is replaced only if it is lost. */
    boolean delivered;

    long notBeforeMilliseconds;
    int failures;

    /** Command for this sample that has no answer yet; 0 if there is none. */
    long commandId;

    long commandSentAtMilliseconds;
    HostName commandPeer;
    int fetchRounds;

    SampleEntity(int index, int group, String prompt, int maximumTokens) {
        this.index = index;
        this.group = group;
        this.prompt = prompt;
        this.maximumTokens = maximumTokens;
    }

    static boolean isBodyOf(SampleBody body, SampleCommit commit) {
        return body != null
                && body.digest().equals(commit.digest())
                && body.spans().equals(commit.spans());
    }

    static long oldestVersion(List<VersionSpan> spans) {
        return spans.stream()
                .mapToLong(span -> span.version().value())
                .min()
                .orElseThrow(
                        () -> new IllegalArgumentException("a sample without version spans has no oldest version"));
    }

    void clearCommand() {
        commandId = 0;
        commandSentAtMilliseconds = 0;
        commandPeer = null;
    }

    void clearBody() {
        body = null;
        delivered = false;
        copyHolders.clear();
        untriedHolders.clear();
        fetchRounds = 0;
        clearCommand();
    }
}
