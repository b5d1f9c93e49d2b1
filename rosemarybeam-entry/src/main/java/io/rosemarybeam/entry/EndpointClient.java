package io.rosemarybeam.entry;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.decision.request.RequestCommand.StartAttempt;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;
import io.rosemarybeam.decision.rollout.RolloutCommand.OrderKind;
import io.rosemarybeam.decision.rollout.RolloutCommand.SendOrder;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * Sends requests and orders to endpoints.
 *
 * <p>Invariant: it never retries a request; only the request core does. When an attempt times out without progress, its
 * connection is closed and the idle connections to the same address are not reused. A request that must not run twice
 * uses a new connection, because the endpoint may close an idle one while the request is being sent. A connection is reused
 * only after an answer that names its attempt. Safe for use by several threads.
 */
final class EndpointClient implements AutoCloseable {
    private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);
    private static final Duration MAXIMUM_CONNECT_TIMEOUT = Duration.ofSeconds(10);
    /** Less than the 5 s or more after which common servers close idle connections. */
    private static final Duration POOL_IDLE_TIMEOUT = Duration.ofSeconds(4);

    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAXIMUM_HEADER_BYTES = 32_768;

    /** Time after the connect timeout within which a request may still be sent. */
    private static final long DISPATCH_SLACK_MILLISECONDS = 500;

    /** Interval between two timeout checks above which this process is taken to have been paused. */
    private static final long PAUSE_THRESHOLD_MILLISECONDS = 500;

    private final AsyncHttpClient client;
    private final MonotonicClock clock;
    private final AttemptListener listener;
    private final Map<AttemptId, AttemptStream> attempts = new ConcurrentHashMap<>();
    private final Map<String, Integer> poolGenerations = new ConcurrentHashMap<>();
    private final AtomicLong unsharedConnections = new AtomicLong();
    private long lastCheckMilliseconds;

    EndpointClient(EventLoopGroup eventLoops, MonotonicClock clock, AttemptListener listener) {
        this.clock = clock;
        this.listener = listener;
        this.lastCheckMilliseconds = clock.nowMilliseconds();
        this.client = Dsl.asyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(eventLoops)
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setEnableAutomaticDecompression(false)
                .setRequestTimeout(NO_TIMEOUT)
                .setReadTimeout(NO_TIMEOUT)
                .setConnectTimeout(MAXIMUM_CONNECT_TIMEOUT)
                .setPooledConnectionIdleTimeout(POOL_IDLE_TIMEOUT)
                .setKeepAliveStrategy(new IdentifiedKeepAlive())
                .setHttpClientCodecMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                .setTcpNoDelay(true)
                .setCookieStore(null)
                .setHttpAdditionalChannelInitializer(EndpointClient::installHandlers)
                .setResponseBodyPartFactory(AsyncHttpClientConfig.ResponseBodyPartFactory.LAZY));
    }

    private static void installHandlers(Channel channel) {
        ReadGate.install(channel);
        EndpointCodec.install(channel, MAXIMUM_HEADER_BYTES);
    }

    /**
     * Starts an attempt.
     *
     * @param command the decision of the request core, with the address of the endpoint
     * @param pendingRequest the request
     */
    void start(StartAttempt command, PendingRequest pendingRequest) {
        long now = clock.nowMilliseconds();
        long sendNotAfter = Math.min(
                now + command.connectMilliseconds() + DISPATCH_SLACK_MILLISECONDS,
                command.dispatchDeadlineMilliseconds());
        AttemptStream attempt = new AttemptStream(command, pendingRequest, listener, clock, sendNotAfter);
        attempts.put(command.attempt(), attempt);
        boolean resumes = command.resumeOffset() > 0;
        byte[] body = pendingRequest.begin(attempt, resumes, command.spliced());
        RequestBuilder request = new RequestBuilder(pendingRequest.target().method(), true)
                .setUrl(command.address() + pendingRequest.target().uri())
                .setHeaders(pendingRequest.target().headers())
                .setHeader(EndpointHeaders.ATTEMPT_ID, command.attempt().value())
                .setHeader(EndpointHeaders.PRIORITY, Integer.toString(command.enginePriority()))
                .setHeader(EndpointHeaders.DEADLINE, Long.toString(Math.max(0, command.deadlineMilliseconds() - now)));
        if (resumes) {
            request.setHeader(EndpointHeaders.RESUME_OFFSET, Integer.toString(pendingRequest.received()));
        }
        if (body.length > 0) {
            request.setBody(body);
        }
        String partition = partition(command.address(), pendingRequest.target().idempotent());
        request.setChannelPoolPartitioning((uri, virtualHost, proxy) -> partition);
        if (!pendingRequest.target().idempotent()) {
            request.setHeader(HttpHeaderNames.CONNECTION, "close");
        }
        client.executeRequest(request.build(), attempt);
    }

    private String partition(String address, boolean shared) {
        if (!shared) {
            return address + "!" + unsharedConnections.incrementAndGet();
        }
        return address + "#" + poolGenerations.getOrDefault(address, 0);
    }

    /**
     * Removes an attempt that has ended.
     *
     * @param attempt the attempt
     * @param failure why it failed, or null if it succeeded
     */
    void onAttemptEnded(AttemptStream attempt, AttemptFailure failure) {
        attempts.remove(attempt.id());
        if (failure == AttemptFailure.SILENT) {
            poolGenerations.merge(attempt.command().address(), 1, Integer::sum);
        }
    }

    /**
     * Cancels an attempt, also at its endpoint if the endpoint supports that.
     *
     * @param id the attempt
     * @param canCancel whether an endpoint supports cancellation
     */
    void cancel(AttemptId id, Predicate<EndpointId> canCancel) {
        AttemptStream attempt = attempts.remove(id);
        if (attempt == null || !attempt.cancel()) {
            return;
        }
        if (!attempt.isSent() || !canCancel.test(attempt.command().endpoint())) {
            return;
        }
        RequestBuilder request = new RequestBuilder("DELETE", true)
                .setUrl(attempt.command().address() + "/v1/attempts/" + id.value())
                .setRequestTimeout(CANCEL_TIMEOUT);
        client.executeRequest(request.build());
    }

    /** Returns the number of attempts in progress. */
    int attemptCount() {
        return attempts.size();
    }

    /**
     * Checks the timeouts of all attempts; if this process was paused, the progress timeouts restart first. Called on
     * the decision thread.
     *
     * @param nowMilliseconds current time of the monotonic clock
     */
    void checkTimeouts(long nowMilliseconds) {
        boolean processPaused = nowMilliseconds - lastCheckMilliseconds > PAUSE_THRESHOLD_MILLISECONDS;
        lastCheckMilliseconds = nowMilliseconds;
        for (AttemptStream attempt : attempts.values()) {
            if (processPaused) {
                attempt.restartProgressTimeout();
            }
            attempt.checkTimeouts(nowMilliseconds);
        }
    }

    /**
     * Sends an order, unless it has expired.
     *
     * @param order the order
     * @return completes with true if the endpoint accepted the order, and otherwise, also after a failure, with false
     */
    CompletableFuture<Boolean> order(SendOrder order) {
        if (clock.nowMilliseconds() > order.notAfterMilliseconds()) {
            return CompletableFuture.completedFuture(false);
        }
        Map<String, Object> body = Map.of(
                "kind",
                order.kind().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'),
                "version",
                order.kind() == OrderKind.LOAD_WEIGHTS ? Long.valueOf(order.argument()) : order.argument(),
                "fencingNumber",
                order.fencingNumber().value());
        RequestBuilder request = new RequestBuilder("POST", true)
                .setUrl(order.address() + "/v1/orders")
                .setHeader(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .setBody(Json.write(body))
                .setRequestTimeout(ORDER_TIMEOUT);
        return client.executeRequest(request.build())
                .toCompletableFuture()
                .handle((response, failure) -> failure == null && isSuccess(response));
    }

    private static boolean isSuccess(Response response) {
        return response.getStatusCode() / 100 == 2;
    }

    @Override
    public void close() throws java.io.IOException {
        client.close();
    }
}
