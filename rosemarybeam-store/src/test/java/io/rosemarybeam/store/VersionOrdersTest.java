package io.rosemarybeam.store;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.batch.ModelDemand;
import io.rosemarybeam.decision.routing.CallerLimits;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.decision.routing.ServiceDefinition;
import io.rosemarybeam.forward.LeavingEndpoints;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.EndpointFormat;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against loads of weights that use up the rate limit of an endpoint with the reports that they ask for. */
class VersionOrdersTest {
    private static final ServiceName SERVICE = ServiceName.of("engines");
    private static final ModelName MODEL = ModelName.of(FakeEngine.MODEL);

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final List<EndpointId> counted = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Test
    void shouldCountOnlyTheOrderWhenAVersionIsLoaded() throws IOException {
        try (FakeEngine engine = new FakeEngine("127.0.77.101")) {
            EndpointDirectory directory = new EndpointDirectory();
            directory.merge(
                    EndpointFormat.decodeHeartbeat(
                                    "e-1", engine.heartbeat("engines", 1).getBytes(), System.currentTimeMillis())
                            .orElseThrow(),
                    0);
            GenerationFleet fleet = new GenerationFleet(
                    directory, new EndpointLoads(), endpoint -> true, LeavingEndpoints.local(directory));
            SendAuthority authority = new SendAuthority(1, () -> 0, new StoreState());
            VersionOrders orders = new VersionOrders(
                    fleet, EndpointClient.of(loop), counted::add, "store-1", authority, Long.MIN_VALUE);
            RoutingTable table = RoutingTable.of(
                    1, List.of(), List.of(new ServiceDefinition(SERVICE, 10, List.of(MODEL))), CallerLimits.defaults());
            loop.scheduleWithFixedDelay(
                    () -> orders.tick(Optional.of(table), model -> new ModelDemand(model, 2, 2, 4, 4)),
                    0,
                    20,
                    TimeUnit.MILLISECONDS);

            StoreCluster.await("the version is loaded", () -> engine.version() == 2 ? true : null);
            StoreCluster.await("the load is confirmed", () -> fleet.isLoading(EndpointId.of("e-1")) ? null : true);

            assertEquals(List.of(EndpointId.of("e-1")), counted);
        }
    }
}
