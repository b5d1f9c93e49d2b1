package io.rosemarybeam.testbed;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.rosemarybeam.platform.PlatformHeaders;
import org.asynchttpclient.RequestBuilder;

/**
 * A submission of a soak, whose items all have a scorer. Immutable.
 *
 * @param id names the submission; the ids of its items and score requests begin with it
 * @param items number of items
 * @param kind begins the bodies of the items
 * @param failingScorerInterval one of so many items has a scorer that fails; zero for none
 * @param paddingBytes length of what follows a body after a space
 */
record SoakSubmission(String id, int items, String kind, int failingScorerInterval, int paddingBytes) {
    static final String SCORER_PATH = SoakDeployment.LOOKUP_PATH + "score";

    /** Returns the ids of all items and score requests. */
    List<String> work() {
        return IntStream.range(0, items)
                .boxed()
                .flatMap(item -> Stream.of(id + "-" + item, id + "-score-" + item))
                .toList();
    }

    /** Returns the request that sends the submission to an edge. */
    RequestBuilder request(SoakDeployment deployment, int edge) {
        String text = IntStream.range(0, items).mapToObj(this::item).collect(Collectors.joining(","));
        return deployment
                .toEdge(edge, "POST", SoakDeployment.TRAINING_PATH + "x")
                .setHeader(PlatformHeaders.REQUEST_ID, id)
                .setBody("{\"Step\":0,\"Model\":\"model\",\"OldestVersion\":1,\"GroupCount\":1,\"Items\":[" + text
                        + "]}");
    }

    private String item(int item) {
        boolean scorerFails = failingScorerInterval > 0 && item % failingScorerInterval == 0;
        String padding = paddingBytes == 0 ? "" : " " + "x".repeat(paddingBytes);
        return "{\"Id\":\"" + id + "-" + item + "\",\"Path\":\"" + SoakDeployment.TRAINING_PATH
                + "x\",\"Headers\":{\"Rosemarybeam-Model\":\"model\"},\"Body\":\""
                + encoded(kind + id + "-" + item + padding)
                + "\",\"TokenCount\":100,\"Group\":\"g\",\"Scorer\":{\"Id\":\"" + id + "-score-" + item
                + "\",\"Hostname\":\"" + SoakDeployment.HOST + "\",\"Path\":\"" + SCORER_PATH + "\",\"Body\":\""
                + encoded((scorerFails ? SoakEndpoint.FAILING_SCORE : "score ") + id + "-" + item) + "\"}}";
    }

    private static String encoded(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
