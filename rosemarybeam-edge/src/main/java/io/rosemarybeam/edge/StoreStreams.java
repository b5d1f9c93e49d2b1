package io.rosemarybeam.edge;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.StoreMessage.EndpointNews;
import io.rosemarybeam.common.wire.StoreMessage.FindStream;
import io.rosemarybeam.common.wire.StoreMessage.StreamReply;
import io.rosemarybeam.common.wire.StreamOrigin;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.forward.StreamOrigins;
import io.rosemarybeam.forward.StreamOrigins.SearchResult;

/**
 * Origins of streams that the store hosts know; each of them gets all origins from the edges, and those of open streams again
 * when it has restarted. Confined to its event loop.
 */
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
    public void schedule(Runnable task, long delay) {
        loop.schedule(task, delay, TimeUnit.MILLISECONDS);
    }

    @Override
    public void find(String request, List<ServiceName> services, Consumer<SearchResult> onResult) {
        CompletableFuture<SearchResult> result = new CompletableFuture<>();
        List<WireConnection> finders = sessions.streamFinders();
        boolean asksAll = sessions.canAskAllForStreams();
        List<CompletableFuture<Optional<StreamReply>>> replies = finders.stream()
                .map(store -> ask(store, new FindStream(request, services), result))
                .toList();
        CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new)).whenComplete((ignored, failure) -> {
            List<Optional<StreamReply>> all =
                    replies.stream().map(CompletableFuture::join).toList();
            boolean isCertain = all.stream().flatMap(Optional::stream).anyMatch(reply -> !reply.collecting());
            Optional<Set<String>> versions = asksAll ? versions(all) : Optional.empty();
            result.complete(new SearchResult(Optional.empty(), isCertain, versions));
        });
        result.whenCompleteAsync((found, failure) -> onResult.accept(found), loop);
    }

    /** Returns the versions that any host has heard of lately, if all of them answered and none can have missed one. */
    private static Optional<Set<String>> versions(List<Optional<StreamReply>> replies) {
        Set<String> all = new HashSet<>();
        for (Optional<StreamReply> reply : replies) {
            Optional<List<String>> heard = reply.flatMap(StreamReply::versions);
            if (heard.isEmpty()) {
                return Optional.empty();
            }
            all.addAll(heard.get());
        }
        return Optional.of(all);
    }

    /** Asks one host; the first known origin completes the search, and the others are not waited for. */
    private static CompletableFuture<Optional<StreamReply>> ask(
            WireConnection store, FindStream question, CompletableFuture<SearchResult> result) {
        return store.request(question, REPLY_TIMEOUT).handle((reply, failure) -> {
            if (failure != null) {
                logFailure(store, question.request(), failure.getMessage());
            } else if (reply instanceof StreamReply answer) {
                answer.origin()
                        .ifPresent(origin ->
                                result.complete(new SearchResult(Optional.of(origin), true, Optional.empty())));
                return Optional.of(answer);
            } else {
                logFailure(store, question.request(), "unexpected reply " + describe(reply));
            }
            return Optional.empty();
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
