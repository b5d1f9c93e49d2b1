package io.rosemarybeam.edge;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.forward.HandedOnHeaders;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.PlatformHeaders;
import io.rosemarybeam.platform.PlatformPaths;
import io.rosemarybeam.platform.WorkspaceHeaders;

/**
 * Hands the ends of submissions that a stopping edge keeps to other edges.
 *
 * <p>It asks for an end as a caller does, because edges of earlier releases know that request too; if callers need keys, it asks
 * at the address for other edges and sends the name of the workspace. An edge answers 503 for an end
 * that it keeps, but also while it stops itself, and one of an earlier release may keep none; so each end goes to several edges.
 * Ends are idempotent.
 *
 * <p>Invariants: each edge gets an end at most once, and at most {@link #RECEIVERS} answer 503 for it; at most
 * {@link #MAXIMUM_ATTEMPTS_IN_PROGRESS} attempts are in progress, one for each end. Confined to its event loop.
 */
final class EndHandOver {
    /** Maximum number of edges that keep an end. */
    static final int RECEIVERS = 2;

    /** Maximum number of attempts in progress, because each takes a connection. */
    static final int MAXIMUM_ATTEMPTS_IN_PROGRESS = 64;

    /** Timeout of an attempt, in milliseconds; an edge answers within 1,300 when no leader answers it. */
    private static final long TIMEOUT_MILLISECONDS = 2_000;

    private static final int UNAVAILABLE = 503;
    private static final byte[] NO_BODY = {};

    private static final EventLog LOG = EventLog.of(EndHandOver.class);

    private final EventLoop loop;
    private final EndpointClient client;
    private final Supplier<Destinations> edges;
    private final String ownName;
    private final Map<SubmissionEnd, Receivers> receivers = new HashMap<>();
    private final Set<SubmissionEnd> inProgress = new HashSet<>();

    /**
     * Where ends are sent.
     *
     * @param addresses addresses of the other edges
     * @param arePeers whether these are their addresses for other edges, which take the name of a workspace without a key; an
     *     edge of an earlier release answers 503 there and keeps no end, so that only an answer with a mark counts
     */
    record Destinations(List<String> addresses, boolean arePeers) {}

    /**
     * Creates a hand-over that has sent nothing.
     *
     * @param loop the event loop to which it is confined
     * @param client sends the requests
     * @param edges supplies the addresses of the other edges
     * @param ownName name of this host, for the logs of the others
     */
    EndHandOver(EventLoop loop, EndpointClient client, Supplier<Destinations> edges, String ownName) {
        this.loop = loop;
        this.client = client;
        this.edges = edges;
        this.ownName = ownName;
    }

    /**
     * Sends each end to the next edge, unless an attempt is in progress or enough edges have answered 503.
     *
     * @param ends the ends that no leader has acknowledged
     * @param onAnswer receives the end and the status of each answer
     */
    void send(List<SubmissionEnd> ends, BiConsumer<SubmissionEnd, Integer> onAnswer) {
        Destinations destinations = edges.get();
        for (SubmissionEnd end : ends) {
            if (inProgress.size() >= MAXIMUM_ATTEMPTS_IN_PROGRESS) {
                return;
            }
            Receivers known = receivers.computeIfAbsent(end, ignored -> new Receivers());
            Optional<String> next = known.next(end, destinations.addresses());
            if (next.isPresent() && inProgress.add(end)) {
                known.asked.add(next.get());
                new Attempt(end, next.get(), destinations.arePeers(), known, onAnswer).send();
            }
        }
    }

    /** The edges that were asked to take one end. Confined to the event loop. */
    private static final class Receivers {
        private final Set<String> asked = new HashSet<>();
        private int keptBy;

        /** Returns the edge to ask next; the first one depends on the end, so that all edges take a part of the ends. */
        Optional<String> next(SubmissionEnd end, List<String> addresses) {
            if (keptBy >= RECEIVERS || addresses.isEmpty()) {
                return Optional.empty();
            }
            int first = Math.floorMod(end.hashCode(), addresses.size());
            for (int offset = 0; offset < addresses.size(); offset++) {
                String address = addresses.get((first + offset) % addresses.size());
                if (!asked.contains(address)) {
                    return Optional.of(address);
                }
            }
            return Optional.empty();
        }
    }

    /** One request to another edge; has exactly one outcome. Confined to the event loop. */
    private final class Attempt implements EndpointClient.Listener {
        private final SubmissionEnd end;
        private final String address;
        private final boolean isPeer;
        private final Receivers known;
        private final BiConsumer<SubmissionEnd, Integer> onAnswer;
        private EndpointClient.Attempt request;
        private int status;
        private boolean isTaken;
        private boolean over;

        Attempt(
                SubmissionEnd end,
                String address,
                boolean isPeer,
                Receivers known,
                BiConsumer<SubmissionEnd, Integer> onAnswer) {
            this.end = end;
            this.address = address;
            this.isPeer = isPeer;
            this.known = known;
            this.onAnswer = onAnswer;
        }

        void send() {
            HttpHeaders headers = new DefaultHttpHeaders();
            headers.set(HttpHeaderNames.HOST, address);
            headers.set(PlatformHeaders.REQUEST_ID, ownName);
            if (isPeer) {
                end.workspace().ifPresent(workspace -> WorkspaceHeaders.setName(headers, workspace));
            }
            request = client.send(
                    new EndpointClient.Request(
                            address,
                            "DELETE",
                            PlatformPaths.ofSubmission(end.submission().value()),
                            headers,
                            NO_BODY),
                    this);
            loop.schedule(this::expire, TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        }

        private void expire() {
            if (!over) {
                request.cancel();
                fail("no answer within " + TIMEOUT_MILLISECONDS + " ms");
            }
        }

        @Override
        public void onHead(EndpointAnswer head) {
            status = head.status();
            isTaken = !isPeer || HandedOnHeaders.isEndTaken(head.headers());
        }

        @Override
        public void onContent(byte[] bytes) {
            // The status says all.
        }

        @Override
        public void onEnd() {
            finish();
            if (!isTaken) {
                LOG.log(
                        Event.HAND_OVER_FAILED,
                        "request",
                        end.submission(),
                        "to",
                        address,
                        "reason",
                        "answered " + status + " and takes no ends at its address for other edges");
                return;
            }
            if (status == UNAVAILABLE) {
                known.keptBy++;
            }
            LOG.log(Event.END_HANDED_OVER, "request", end.submission(), "to", address, "status", status);
            onAnswer.accept(end, status);
        }

        @Override
        public void onFailure(EndpointClient.Failure failure, String reason) {
            fail(reason);
        }

        private void fail(String reason) {
            finish();
            LOG.log(Event.HAND_OVER_FAILED, "request", end.submission(), "to", address, "reason", reason);
        }

        private void finish() {
            over = true;
            inProgress.remove(end);
        }
    }
}
