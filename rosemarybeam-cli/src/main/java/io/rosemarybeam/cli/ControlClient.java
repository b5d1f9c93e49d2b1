package io.rosemarybeam.cli;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RosemarybeamException;
import io.rosemarybeam.common.error.WireException;
import io.rosemarybeam.common.wire.CommonReply.NotLeader;
import io.rosemarybeam.common.wire.CommonReply.Refused;
import io.rosemarybeam.common.wire.Credentials;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import io.rosemarybeam.common.wire.Message;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.common.wire.WireSettings;
import io.rosemarybeam.common.wire.WireTransport;

/**
 * Sends requests to the leading control host, which it finds by following the redirections of the other hosts.
 *
 * <p>A request is sent again if its answer is lost; this is safe because every operator request is idempotent. Confined
 * to the thread that opened it.
 */
final class ControlClient implements AutoCloseable {
    /** Timeout of a single attempt, so that an unresponsive host leaves time for the others. */
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(5);

    /** Keeps the timeout of an attempt positive when the total timeout is nearly used up. */
    private static final Duration MINIMUM_TIMEOUT = Duration.ofMillis(100);

    /** Minimum delay before all addresses are tried again. */
    private static final Duration MINIMUM_RETRY_DELAY = Duration.ofMillis(200);

    /** Maximum number of consecutive redirections; hosts may disagree about the leader during an election. */
    private static final int MAXIMUM_REDIRECTIONS = 3;

    private final List<String> addresses;
    private final Credentials credentials;
    private final Duration timeout;
    private final WireSettings settings = WireSettings.standard();
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final WireTransport transport = WireTransport.of(eventLoops, settings);

    private ControlClient(List<String> addresses, Credentials credentials, Duration timeout) {
        this.addresses = List.copyOf(addresses);
        this.credentials = credentials;
        this.timeout = timeout;
    }

    /**
     * Opens a client. It connects only when a request is sent.
     *
     * @param addresses protocol addresses, tried in order
     * @param token the operator token
     * @param timeout how long to look for a leading host that answers
     * @return the client; the caller closes it
     */
    static ControlClient open(List<String> addresses, String token, Duration timeout) {
        long incarnation = ProcessHandle.current().pid();
        return new ControlClient(
                addresses, new Credentials(Role.OPERATOR, operatorName(), incarnation, token), timeout);
    }

    /**
     * Returns the name under which the control hosts record the requests.
     *
     * @return the name of the operating system's user
     */
    static String operatorName() {
        return System.getProperty("user.name", "operator");
    }

    /** Outcome of one attempt. */
    private sealed interface Attempt {
        /** The host answered. */
        record Answered(Message reply) implements Attempt {}

        /** The host does not lead, but gave the address of the leader. */
        record Redirected(String address) implements Attempt {}

        /** The attempt failed, but another one may succeed after the delay; zero if the host requested none. */
        record Failed(RosemarybeamException failure, Duration retryDelay) implements Attempt {
            boolean isWrongToken() {
                return failure.code() == ErrorCode.HANDSHAKE_REFUSED;
            }
        }
    }

    /**
     * Sends a request, and repeats it until a leading host answers or the timeout expires.
     *
     * @param request creates the message for each attempt
     * @param extraWait added to the timeouts of the client and of each attempt, for requests that wait on the host
     * @return the answer
     * @throws ControlException if the request is refused, or no host that answers knows a leader within the timeout
     * @throws WireException if no host answers within the timeout, or every host refuses the operator token
     */
    Message ask(Supplier<Message> request, Duration extraWait) {
        long deadlineNanoseconds = System.nanoTime() + timeout.plus(extraWait).toNanos();
        Map<String, Attempt.Failed> failures = new LinkedHashMap<>();
        while (true) {
            Duration retryDelay = MINIMUM_RETRY_DELAY;
            for (String address : addresses) {
                Attempt attempt = followRedirections(address, request, extraWait, deadlineNanoseconds);
                if (attempt instanceof Attempt.Answered answered) {
                    return answered.reply();
                }
                Attempt.Failed failed = failure(attempt);
                failures.put(address, failed);
                if (System.nanoTime() >= deadlineNanoseconds) {
                    throw timeoutFailure(failures);
                }
                retryDelay = failed.retryDelay().compareTo(retryDelay) > 0 ? failed.retryDelay() : retryDelay;
            }
            boolean wrongToken = failures.values().stream().allMatch(Attempt.Failed::isWrongToken);
            if (wrongToken) {
                throw new WireException(
                        ErrorCode.HANDSHAKE_REFUSED,
                        "every control host refused the operator token; check --token-file");
            }
            if (System.nanoTime() + retryDelay.toNanos() >= deadlineNanoseconds) {
                throw timeoutFailure(failures);
            }
            sleep(retryDelay);
        }
    }

    private Attempt followRedirections(
            String first, Supplier<Message> request, Duration extraWait, long deadlineNanoseconds) {
        Attempt attempt = attempt(first, request, extraWait, deadlineNanoseconds);
        for (int hop = 0; hop < MAXIMUM_REDIRECTIONS && attempt instanceof Attempt.Redirected redirected; hop++) {
            if (System.nanoTime() >= deadlineNanoseconds) {
                break;
            }
            attempt = attempt(redirected.address(), request, extraWait, deadlineNanoseconds);
        }
        return attempt;
    }

    private Attempt attempt(String address, Supplier<Message> request, Duration extraWait, long deadlineNanoseconds) {
        Duration remaining =
                Duration.ofNanos(Math.max(deadlineNanoseconds - System.nanoTime(), MINIMUM_TIMEOUT.toNanos()));
        Duration replyTimeout = REPLY_TIMEOUT.plus(extraWait);
        Duration attemptTimeout = replyTimeout.compareTo(remaining) < 0 ? replyTimeout : remaining;
        try {
            WireConnection connection = connect(address);
            try {
                return classify(address, await(connection.request(request.get(), attemptTimeout)));
            } finally {
                connection.close();
            }
        } catch (WireException failure) {
            return failed(new WireException(failure.code(), "control host " + address + ": " + reason(failure)));
        }
    }

    /**
     * Connects to a host. A handshake that fails only after the handshake timeout was not answered at all, so it is
     * reported as {@link ErrorCode#CONNECTION_SILENT} and not as a refused token.
     */
    private WireConnection connect(String address) {
        long start = System.nanoTime();
        try {
            return await(transport.connect(address, credentials, (connection, correlation, message) -> {}));
        } catch (WireException failure) {
            long elapsed = System.nanoTime() - start;
            if (failure.code() == ErrorCode.HANDSHAKE_REFUSED
                    && elapsed >= settings.handshakeTimeout().toNanos()) {
                throw new WireException(ErrorCode.CONNECTION_SILENT, "the handshake was not answered", failure);
            }
            throw failure;
        }
    }

    private static Attempt classify(String address, Message reply) {
        if (reply instanceof NotLeader redirection) {
            Optional<String> leader = redirection.leaderAddress().filter(found -> !found.equals(address));
            if (leader.isPresent()) {
                return new Attempt.Redirected(leader.get());
            }
            return failed(new ControlException(
                    ErrorCode.NOT_LEADER, "control host " + address + " does not lead and knows no leader"));
        }
        if (reply instanceof Refused refused) {
            return classify(address, refused);
        }
        return new Attempt.Answered(reply);
    }

    private static Attempt classify(String address, Refused refused) {
        ControlException failure =
                new ControlException(refused.code(), "control host " + address + ": " + refused.detail());
        boolean isTransient = ExitCode.of(refused.code()) == ExitCode.UNREACHABLE;
        if (!isTransient && refused.retryAfterMilliseconds() <= 0) {
            throw failure;
        }
        return new Attempt.Failed(failure, Duration.ofMillis(Math.max(0, refused.retryAfterMilliseconds())));
    }

    private static Attempt.Failed failed(RosemarybeamException failure) {
        return new Attempt.Failed(failure, Duration.ZERO);
    }

    private static Attempt.Failed failure(Attempt attempt) {
        return switch (attempt) {
            case Attempt.Failed failed -> failed;
            case Attempt.Redirected redirected ->
                failed(new ControlException(
                        ErrorCode.NOT_LEADER,
                        "the hosts do not agree on a leader; the last named " + redirected.address()));
            case Attempt.Answered answered -> throw new IllegalArgumentException("answered: " + answered);
        };
    }

    /**
     * Lists the last failure of every host. The error code is that of a host that answered, if there is one, because it
     * is more specific than that of a failed connection.
     */
    private RosemarybeamException timeoutFailure(Map<String, Attempt.Failed> failures) {
        String hosts = failures.values().stream()
                .map(failed -> "\n  " + detail(failed.failure()))
                .collect(Collectors.joining());
        RosemarybeamException mostSpecific = failures.values().stream()
                .map(Attempt.Failed::failure)
                .filter(ControlException.class::isInstance)
                .findFirst()
                .orElse(failures.values().iterator().next().failure());
        ErrorCode code =
                mostSpecific.code() == ErrorCode.HANDSHAKE_REFUSED ? ErrorCode.CONNECTION_FAILED : mostSpecific.code();
        String detail = "no leading control host answered within " + timeout.toSeconds() + " s:" + hosts;
        return mostSpecific instanceof ControlException
                ? new ControlException(code, detail, mostSpecific)
                : new WireException(code, detail, mostSpecific);
    }

    /** Appends the error of the operating system, for example that the connection was refused. */
    private static String reason(WireException failure) {
        Throwable cause = failure.getCause();
        String system = cause == null || cause instanceof RosemarybeamException ? "" : " (" + cause.getMessage() + ")";
        return detail(failure) + system;
    }

    /** Returns the message without the error code before the first colon. */
    private static String detail(RosemarybeamException failure) {
        String message = failure.getMessage();
        return message.substring(message.indexOf(": ") + 2);
    }

    private static <T> T await(CompletableFuture<T> future) {
        try {
            return future.join();
        } catch (CompletionException failure) {
            if (failure.getCause() instanceof RosemarybeamException typed) {
                throw typed;
            }
            throw new WireException(ErrorCode.CONNECTION_CLOSED, String.valueOf(failure.getCause()), failure);
        }
    }

    private static void sleep(Duration delay) {
        try {
            Thread.sleep(delay);
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
            throw new WireException(ErrorCode.CONNECTION_CLOSED, "interrupted", interruption);
        }
    }

    @Override
    public void close() {
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
