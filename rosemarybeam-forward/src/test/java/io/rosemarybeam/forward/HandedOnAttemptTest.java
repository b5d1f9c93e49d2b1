package io.rosemarybeam.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.collection.ByteBudget;
import io.rosemarybeam.platform.EndpointAnswer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Guards against answers of other hosts that pass for answers of endpoints, and requests that run twice because of them. */
class HandedOnAttemptTest {
    private static final ByteBudget BUDGET = new ByteBudget(Long.MAX_VALUE);

    private final List<String> outcomes = new ArrayList<>();

    private static EndpointAnswer answer(int status, boolean hasDigest) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (hasDigest) {
            headers.set("Rosemarybeam-Server-Stamp", "d");
        }
        return new EndpointAnswer(status, headers);
    }

    private static Stream<Arguments> answers() {
        return Stream.of(
                arguments(true, 200, true, "started 200, ended"),
                arguments(true, 500, true, "answer 500"),
                arguments(false, 200, true, "answer 200"),
                arguments(false, 404, true, "answer 404"),
                arguments(false, 503, false, "not run"),
                arguments(false, 404, false, "not run"),
                arguments(false, 408, false, "not run"),
                arguments(false, 421, false, "not run"),
                arguments(false, 502, false, "failed"),
                arguments(false, 504, false, "failed"),
                arguments(true, 200, false, "failed"),
                arguments(false, 200, false, "failed"),
                arguments(false, 204, false, "failed"),
                arguments(false, 302, false, "failed"));
    }

    /** A request would run again elsewhere after an answer that does not state that it has not run. */
    @ParameterizedTest
    @MethodSource("answers")
    void shouldReportNotRunOnlyAfterARefusal(boolean streams, int status, boolean hasDigest, String expected) {
        HandedOnAttempt attempt = new HandedOnAttempt(streams, BUDGET, new RecordingReceiver());
        attempt.onHead(answer(status, hasDigest));
        attempt.onEnd();

        assertEquals(expected, String.join(", ", outcomes));
    }

    private static Stream<Arguments> longAnswers() {
        return Stream.of(
                arguments(200, true, "started 200, part, part, ended"),
                arguments(500, true, "failed"),
                arguments(502, false, "failed"),
                arguments(200, false, "failed"));
    }

    /** The caller would get the error of another host, or bytes of no endpoint, as the answer to its request. */
    @ParameterizedTest
    @MethodSource("longAnswers")
    void shouldStartALongAnswerOnlyIfItIsASuccessOfAnEndpoint(int status, boolean hasDigest, String expected) {
        HandedOnAttempt attempt = new HandedOnAttempt(false, BUDGET, new RecordingReceiver());
        attempt.onHead(answer(status, hasDigest));
        attempt.onContent(new byte[1_048_577]);
        if (status == 200 && hasDigest) {
            attempt.onContent(new byte[1]);
            attempt.onEnd();
        }

        assertEquals(expected, String.join(", ", outcomes));
    }

    /** Records the outcome as text. */
    private final class RecordingReceiver implements HandedOnAttempt.Receiver {
        @Override
        public void onAnswer(EndpointAnswer head, byte[] body) {
            outcomes.add("answer " + head.status());
        }

        @Override
        public void onAnswerStarted(EndpointAnswer head) {
            outcomes.add("started " + head.status());
        }

        @Override
        public void onPart(byte[] bytes) {
            outcomes.add("part");
        }

        @Override
        public void onAnswerEnded() {
            outcomes.add("ended");
        }

        @Override
        public void onNotRun(String reason) {
            outcomes.add("not run");
        }

        @Override
        public void onFailed(String reason) {
            outcomes.add("failed");
        }
    }
}
