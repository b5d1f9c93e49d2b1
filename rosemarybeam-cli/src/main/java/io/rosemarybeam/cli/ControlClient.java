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
 * Asks the leading control host, which it finds through the answers of the others.
 *
 * <p>Invariant: a request is sent again after a lost answer; every operator request is idempotent, so that is safe.
 * Confined to the thread that opened it.
 */
final class ControlClient implements AutoCloseable {
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration MINIMUM_TIMEOUT = Duration.ofMillis(100);
    private static final Duration PAUSE_BETWEEN_ROUNDS = Duration.ofMillis(200);

    /** How many answers of the kind "that host leads" are followed in a row; hosts may disagree during an election. */
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
     * Opens a client; it connects when it is asked.
     *
     * @param addresses protocol addresses to try in turn
     * @param token the operator token
     * @param timeout how long to look for a host that answers
     * @return the client
     */
    static ControlClient open(List<String> addresses, String token, Duration timeout) {
        long incarnation = ProcessHandle.current().pid();
        return new ControlClient(
                addresses, new Credentials(Role.OPERATOR, operatorName(), incarnation, token), timeout);
    }

    /**
     * Names the person who runs the program.
     *
     * @return the name of the operating system's user
     */
    static String operatorName() {
        return System.getProperty("user.name", "operator");
    }

    /** What became of one attempt. */
    private sealed interface Attempt {
        /** The host answered. */
        record Answered(Message reply) implements Attempt {}

        /** The host knows the leader. */
        record Redirected(String address) implements Attempt {}

        /** Another attempt may succeed, after a pause if one is given. */
        record Failed(RosemarybeamException failure, Duration retryDelay) implements Attempt {
            boolean isWrongToken() {
                return failure.code() == ErrorCode.HANDSHAKE_REFUSED;
            }
        }
    }

    /**
     * Asks until a leading host answers.
     *
     * @param request gives the message for each attempt
     * @param extraWait how much longer than usual an answer may take
     * @return the answer
     * @throws ControlException if the request is refused
     * @throws WireException if no host answers in time, or every host refuses the operator token
     */
    Message ask(Supplier<Message> request, Duration extraWait) {
        long end = System.nanoTime() + timeout.plus(extraWait).toNanos();
        Map<String, Attempt.Failed> failures = new LinkedHashMap<>();
        while (true) {
            Duration retryDelay = PAUSE_BETWEEN_ROUNDS;
            for (String address : addresses) {
                Attempt attempt = followRedirections(address, request, extraWait, end);
                if (attempt instanceof Attempt.Answered answered) {
                    return answered.reply();
                }
                Attempt.Failed failed = failure(attempt);
                failures.put(address, failed);
                if (System.nanoTime() >= end) {
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
            if (System.nanoTime() + retryDelay.toNanos() >= end) {
                throw timeoutFailure(failures);
            }
            sleep(retryDelay);
        }
    }

    private Attempt followRedirections(String first, Supplier<Message> request, Duration extraWait, long end) {
        Attempt attempt = attempt(first, request, extraWait, end);
        for (int hop = 0; hop < MAXIMUM_REDIRECTIONS && attempt instanceof Attempt.Redirected redirected; hop++) {
            if (System.nanoTime() >= end) {
                break;
            }
            attempt = attempt(redirected.address(), request, extraWait, end);
        }
        return attempt;
    }

    private Attempt attempt(String address, Supplier<Message> request, Duration extraWait, long end) {
        Duration remaining = Duration.ofNanos(Math.max(end - System.nanoTime(), MINIMUM_TIMEOUT.toNanos()));
        Duration replyTimeout = REPLY_TIMEOUT.plus(extraWait);
        Duration deadline = replyTimeout.compareTo(remaining) < 0 ? replyTimeout : remaining;
        try {
            WireConnection connection = connect(address);
            try {
                return classify(address, await(connection.request(request.get(), deadline)));
            } finally {
                connection.close();
            }
        } catch (WireException failure) {
            return failed(new WireException(failure.code(), "control host " + address + ": " + reason(failure)));
        }
    }

    /** Tells a host that refuses the proof from one that accepts connections and says nothing. */
    private WireConnection connect(String address) {
        long start = System.nanoTime();
        try {
            return await(transport.connect(address, credentials, (connection, correlation, message) -> {}));
        } catch (WireException failure) {
            long elapsed = System.nanoTime() - start;
            if (failure.code() == ErrorCode.HANDSHAKE_REFUSED
                    && elapsed >= settings.handshakeDeadline().toNanos()) {
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
                        ErrorCode.NOT_LEADER, "the hosts do not agree on a leader; the last named " + redirected.address()));
            case Attempt.Answered answered -> throw new IllegalArgumentException("answered: " + answered);
        };
    }

    /** Names the last failure of every host; one that answered tells more than one that did not. */
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

    /** Adds what the operating system said, for example that the connection was refused. */
    private static String reason(WireException failure) {
        Throwable cause = failure.getCause();
        String system = cause == null || cause instanceof RosemarybeamException ? "" : " (" + cause.getMessage() + ")";
        return detail(failure) + system;
    }

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
