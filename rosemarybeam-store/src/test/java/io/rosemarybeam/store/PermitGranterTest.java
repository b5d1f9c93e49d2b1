package io.rosemarybeam.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.wire.EndpointRateLimit;
import io.rosemarybeam.decision.routing.PermitDecision;
import io.rosemarybeam.decision.routing.PermitRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Guards against permits that a former leader grants beside its successor, after a stall. */
class PermitGranterTest {
    private static final EndpointId ENDPOINT = EndpointId.of("e-1");

    /** Permits a second; after the sleep below at least one token is there. */
    private static final double PERMITS_PER_SECOND = 20;

    private static final EndpointRateLimit LIMIT = new EndpointRateLimit(ENDPOINT, 1, PERMITS_PER_SECOND);

    private static final long TOKEN_MILLISECONDS = 200;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final AtomicLong majorityAge = new AtomicLong();
    private CompletableFuture<Void> confirmation = CompletableFuture.completedFuture(null);
    private final PermitGranter granter = new PermitGranter(loop, () -> confirmation);

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private PermitDecision acquire() throws InterruptedException {
        List<PermitDecision> decisions = new ArrayList<>();
        PermitRequest request = new PermitRequest("r", List.of(ENDPOINT), 1, 0);
        loop.submit(() -> granter.acquire(request, decisions::add)).sync();
        return decisions.getFirst();
    }

    @Test
    void shouldDenyPermitsWhenNoMajorityHasAnsweredRecently() throws InterruptedException {
        SendAuthority authority = new SendAuthority(1, majorityAge::get, new StoreState());
        loop.submit(() -> granter.start(List.of(LIMIT), authority)).sync();
        Thread.sleep(TOKEN_MILLISECONDS);

        majorityAge.set(SendAuthority.MAXIMUM_AGE_MILLISECONDS + 1);
        assertInstanceOf(PermitDecision.Denied.class, acquire());

        majorityAge.set(0);
        assertEquals(new PermitDecision.Granted(ENDPOINT), acquire());
    }

    /** Guards against a sound leader that denies permits for half a second after each stall. */
    @Test
    void shouldGrantThePermitWhenAMajorityConfirmsTheLeaderAfterAStall() throws InterruptedException {
        SendAuthority authority = new SendAuthority(1, majorityAge::get, new StoreState());
        loop.submit(() -> granter.start(List.of(LIMIT), authority)).sync();
        Thread.sleep(TOKEN_MILLISECONDS);
        majorityAge.set(SendAuthority.MAXIMUM_AGE_MILLISECONDS + 1);
        confirmation = new CompletableFuture<>();
        List<PermitDecision> decisions = new ArrayList<>();
        PermitRequest request = new PermitRequest("r", List.of(ENDPOINT), 1, 0);
        loop.submit(() -> granter.acquire(request, decisions::add)).sync();
        assertEquals(List.of(), decisions);

        majorityAge.set(0);
        loop.submit(() -> confirmation.complete(null)).sync();

        assertEquals(List.of(new PermitDecision.Granted(ENDPOINT)), decisions);
    }
}
