package io.rosemarybeam.edge;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.StoreMessage.EndpointNews;
import io.rosemarybeam.common.wire.StoreMessage.FindStream;
import io.rosemarybeam.common.wire.StoreMessage.StreamReply;
import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.forward.StreamOrigins;

/** Origins of streams that the store hosts know; each of them gets all origins from the edges. Confined to its event loop. */
final class StoreStreams implements StreamOrigins.Remote {
    /** Timeout of a reply, in milliseconds; a round trip takes about 10, and a caller waits meanwhile. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(150);

    private static final EventLog LOG = EventLog.of(StoreStreams.class);

    private final EventLoop loop;
    private final StoreSessions sessions;

    StoreStreams(EventLoop loop, StoreSessions sessions) {
        this.loop = loop;
        this.sessions = sessions;
    }

    @Override
    public void publish(StreamOrigin origin) {
        sessions.broadcast(EndpointNews.ofStream(origin));
    }

    @Override
    public boolean knowsAllEndpoints() {
        return sessions.isInTouchWithAll();
    }

    @Override
    public void find(String request, Consumer<Optional<StreamOrigin>> onResult) {
        CompletableFuture<StreamOrigin> found = new CompletableFuture<>();
        List<CompletableFuture<Void>> replies = sessions.streamFinders().stream()
                .map(store -> ask(store, request, found))
                .toList();
        CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .whenComplete((ignored, failure) -> found.complete(null));
        found.whenCompleteAsync((origin, failure) -> onResult.accept(Optional.ofNullable(origin)), loop);
    }

    /** Asks one host; the first known origin completes the search, and the others are not waited for. */
    private static CompletableFuture<Void> ask(
            WireConnection store, String request, CompletableFuture<StreamOrigin> found) {
        return store.request(new FindStream(request), REPLY_TIMEOUT).handle((reply, failure) -> {
            if (failure != null) {
                logFailure(store, request, failure.getMessage());
            } else if (reply instanceof StreamReply answer) {
                answer.origin().ifPresent(found::complete);
            } else {
                logFailure(store, request, "unexpected reply " + describe(reply));
            }
            return null;
        });
    }

    private static String describe(Message reply) {
        return reply.getClass().getSimpleName();
    }

    private static void logFailure(WireConnection store, String request, String reason) {
        LOG.log(
                Event.STORE_REQUEST_FAILED,
                "request",
                request,
                "kind",
                "FindStream",
                "store",
                store.remoteName(),
                "reason",
                reason);
    }
}
