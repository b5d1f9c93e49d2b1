package io.rosemarybeam.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.forward.AnswerSink;
import io.rosemarybeam.forward.ForwardRequest;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.PlatformHeaders;

/**
 * Asks the scorers of items whose text is whole.
 *
 * <p>A scorer is asked again until it answers with success; only answers that it failed count towards giving the item up.
 * Confined to the thread of the log's driver.
 */
final class ItemScoring {
    /** Pause before a scorer is asked again, in milliseconds. */
    private static final long RETRY_MILLISECONDS = 100;

    private static final EventLog LOG = EventLog.of(ItemScoring.class);

    private final EventLoop loop;
    private final Forwarder forwarder;

    ItemScoring(EventLoop loop, Forwarder forwarder) {
        this.loop = loop;
        this.forwarder = forwarder;
    }

    /** Learns the outcome. */
    interface Listener {
        /** Learns the score. */
        void scored(String score);

        /** Learns that the scorer fails for this item. */
        void givenUp(String reason);
    }

    void score(ItemTask task, Optional<RoutingTable> table, Listener listener) {
        Submission.Scorer scorer = task.item.scorer().orElseThrow();
        Optional<Route> route = table.flatMap(current -> current.find(scorer.host(), scorer.path()));
        if (route.isEmpty()) {
            listener.givenUp("no route leads to the scorer");
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.HOST, scorer.host());
        headers.set(PlatformHeaders.REQUEST_ID, scorer.id());
        Duration limit = route.get().timeout();
        ForwardRequest request = new ForwardRequest(
                scorer.id(),
                route.get(),
                route.get().serviceFor(scorer.id()),
                "POST",
                scorer.path(),
                headers,
                scorer.body(),
                Forwarder.now() + limit.toMillis(),
                table.orElseThrow().version());
        task.scoring = Optional.of(forwarder.forward(request, new ScoreSink(task, table, route.get(), listener)));
    }

    private void again(ItemTask task, Optional<RoutingTable> table, Listener listener, String reason) {
        LOG.log(
                Event.SCORER_FAILED,
                "request",
                task.item.id(),
                "scorer",
                task.item.scorer().map(Submission.Scorer::id).orElse(""),
                "reason",
                reason,
                "failures",
                task.failedScores);
        task.scoring = Optional.empty();
        loop.schedule(
                () -> {
                    if (task.stage == ItemTask.Stage.SCORING && task.scoring.isEmpty() && !task.submission.isEnded()) {
                        score(task, table, listener);
                    }
                },
                RETRY_MILLISECONDS,
                TimeUnit.MILLISECONDS);
    }

    /** Takes the answer of a scorer. */
    private final class ScoreSink implements AnswerSink {
        private final ItemTask task;
        private final Optional<RoutingTable> table;
        private final Route route;
        private final Listener listener;

        ScoreSink(ItemTask task, Optional<RoutingTable> table, Route route, Listener listener) {
            this.task = task;
            this.table = table;
            this.route = route;
            this.listener = listener;
        }

        @Override
        public void reportInternalErrors(int count) {
            task.failedScores += count;
        }

        @Override
        public void complete(int status, HttpHeaders headers, byte[] body) {
            String digest = headers.get(PlatformHeaders.DIGEST);
            if (status >= 200 && status < 300 && digest != null) {
                task.scoring = Optional.empty();
                listener.scored(digest);
            } else if (task.failedScores >= route.maximumAttempts()) {
                task.scoring = Optional.empty();
                listener.givenUp("the scorer failed " + task.failedScores + " times");
            } else {
                again(task, table, listener, "status " + status);
            }
        }

        /** An answer that is too long to be held is no score. */
        @Override
        public void begin(int status, HttpHeaders headers) {
            listener.givenUp("the scorer's answer is too long");
        }

        @Override
        public void part(byte[] bytes) {
            // The item was given up when the answer began.
        }

        @Override
        public void end() {
            // The item was given up when the answer began.
        }

        @Override
        public void abort() {
            // The item was given up when the answer began.
        }

        @Override
        public void refuse(double retryAfterSeconds) {
            again(task, table, listener, "no endpoint takes it");
        }

        @Override
        public void fail(int status) {
            again(task, table, listener, "status " + status);
        }
    }
}
