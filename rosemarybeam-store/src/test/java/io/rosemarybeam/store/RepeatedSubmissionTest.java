package io.rosemarybeam.store;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.StoreMessage.Outcome;
import io.rosemarybeam.common.wire.StoreMessage.StoreReply;
import io.rosemarybeam.common.wire.StoreMessage.SubmitBatch;
import io.rosemarybeam.common.wire.Submission;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a leader that writes every resent copy of a submission to the log, and so delays the first one further. */
class RepeatedSubmissionTest {
    private static final int HOSTS = 3;
    private static final int BODY_BYTES = 300_000;
    private static final int COPIES = 8;

    @TempDir
    Path folder;

    private StoreCluster cluster;

    @BeforeEach
    void start() {
        cluster = new StoreCluster(folder);
        for (int host = 1; host <= HOSTS; host++) {
            cluster.start(host, true);
        }
    }

    @AfterEach
    void close() {
        cluster.close();
    }

    private int leader() {
        return StoreCluster.await("a host is leader", () -> {
            for (int host : cluster.running()) {
                JsonNode dump = new ObjectMapper().readTree(cluster.dump(host));
                if (dump.path("role").asText().equals("LEADER")
                        && dump.path("applied").asLong() > 1) {
                    return host;
                }
            }
            return null;
        });
    }

    private static Submission submission(String id) {
        Submission.Item item = new Submission.Item(
                ItemId.of("i-" + id), "/generate/x", Map.of(), new byte[BODY_BYTES], 400, 0, "g", Optional.empty());
        return new Submission(
                SubmissionId.of(id), "a.example", "/x/1", 0, Optional.of(ModelName.of("m")), 1, 1, List.of(item));
    }

    @Test
    void shouldWriteSubmissionToTheLogOnceWhenCopiesArriveAtOnceAndLater() throws Exception {
        SubmitBatch request = new SubmitBatch(submission("step-1"));
        int leader = leader();

        List<StoreReply> together = cluster.askAtOnce(leader, request, COPIES);
        List<StoreReply> later = cluster.askAtOnce(leader, request, COPIES);

        together.forEach(reply -> assertEquals(Outcome.DONE, reply.outcome()));
        later.forEach(reply -> assertEquals(Outcome.DONE, reply.outcome()));
        long written = cluster.dataBytes(leader);
        assertTrue(written < 2L * BODY_BYTES, () -> written + " bytes for one submission of " + BODY_BYTES);
    }

    @Test
    void shouldAcknowledgeEachSubmissionWhenDifferentOnesArriveAtOnce() throws Exception {
        int leader = leader();
        for (int number = 0; number < 3; number++) {
            SubmitBatch request = new SubmitBatch(submission("step-" + number));
            cluster.askAtOnce(leader, request, 2).forEach(reply -> assertEquals(Outcome.DONE, reply.outcome()));
        }
        assertTrue(cluster.dataBytes(leader) > 3L * BODY_BYTES);
    }
}
