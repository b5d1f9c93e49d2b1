package io.rosemarybeam.testbed;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.ServiceName;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a stand-in engine that differs from a real model engine, so that other tests pass or fail wrongly. */
class ModelEngineTest {
    private static final EndpointSettings SETTINGS = new EndpointSettings(
            EndpointId.of("engine-1"), ServiceName.of("brailler-lm"), FailureDomain.of("amman-a"), 2, 1, 50, true);

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final ModelEngine engine = new ModelEngine(eventLoops, 0, SETTINGS, "poison");
    private final AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config().setMaxRequestRetry(0));

    @AfterEach
    void stop() throws Exception {
        engine.close();
        client.close();
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private Response complete(String prompt, int offset) {
        return client.preparePost(engine.baseUrl() + "/v1/completions")
                .setHeader("X-Attempt-Id", "attempt-1")
                .setHeader("X-Resume-Offset", offset)
                .setBody("{\"prompt\":\"" + prompt + "\",\"max_tokens\":16}")
                .execute()
                .toCompletableFuture()
                .join();
    }

    private int sendLoadWeightsOrder(long version, long fencingNumber) {
        return client.preparePost(engine.baseUrl() + "/v1/orders")
                .setBody("{\"kind\":\"load-weights\",\"version\":" + version + ",\"fencingNumber\":" + fencingNumber
                        + "}")
                .execute()
                .toCompletableFuture()
                .join()
                .getStatusCode();
    }

    @Test
    void shouldStampVersionAndEndMarkWhenPromptIsCompleted() {
        String body = complete("hello", 0).getResponseBody();

        assertTrue(body.contains("\"weight_version\":1"), body);
        assertTrue(body.endsWith("data: [DONE]\n\n"), body);
    }

    @Test
    void shouldSkipTokensWhenOffsetIsGiven() {
        String body = complete("hello", 1).getResponseBody();

        assertFalse(body.contains("\"index\":0"), body);
        assertTrue(body.contains("\"index\":1"), body);
    }

    @Test
    void shouldRefuseOrderWhenFencingNumberIsOld() {
        assertEquals(202, sendLoadWeightsOrder(2, 7));
        assertEquals(409, sendLoadWeightsOrder(3, 6));
    }

    @Test
    void shouldReportNoVersionAndRefuseWorkWhenSwapStopsPartway() {
        engine.setFault(ModelEngine.Fault.PARTIAL_SWAP);
        sendLoadWeightsOrder(2, 1);

        assertEquals(Optional.empty(), engine.weightVersion());
        Response refused = complete("hello", 0);
        assertEquals(503, refused.getStatusCode());
        assertEquals("not-run", refused.getHeader("X-Run"));
    }

    @Test
    void shouldCrashWhenPromptContainsCrashPrompt() {
        client.preparePost(engine.baseUrl() + "/v1/completions")
                .setBody("{\"prompt\":\"poison\"}")
                .execute()
                .toCompletableFuture()
                .exceptionally(failure -> null)
                .join();

        assertTrue(engine.isCrashed());
    }
}
