package io.rosemarybeam.entry;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.decision.request.RequestCommand.StartAttempt;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;

/**
 * One attempt to run a request on an endpoint.
 *
 * <p>Invariant: it ends exactly once, by success, failure or cancellation, and reports its progress before its outcome.
 * Nothing is sent after {@code sendNotAfter}, even if the process was paused between the decision and the connection.
 * Safe for use by several threads.
 */
final class AttemptStream implements AsyncHandler<Void> {
    private final StartAttempt command;
    private final PendingRequest pendingRequest;
    private final AttemptListener listener;
    private final MonotonicClock clock;
    private final long startedAtMilliseconds;
    private final long sendNotAfterMilliseconds;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile Channel channel;
    private volatile boolean sent;
    private volatile boolean paused;
    private volatile long lastByteMilliseconds;
    private int status;
    private boolean headSeen;
    private int reportedTokens = -1;
    private Optional<WeightVersion> reportedVersion = Optional.empty();
    private final AtomicBoolean progressPending = new AtomicBoolean();

    AttemptStream(
            StartAttempt command,
            PendingRequest pendingRequest,
            AttemptListener listener,
            MonotonicClock clock,
            long sendNotAfterMilliseconds) {
        this.command = command;
        this.pendingRequest = pendingRequest;
        this.listener = listener;
        this.clock = clock;
        this.sendNotAfterMilliseconds = sendNotAfterMilliseconds;
        this.startedAtMilliseconds = clock.nowMilliseconds();
        this.lastByteMilliseconds = startedAtMilliseconds;
    }

    AttemptId id() {
        return command.attempt();
    }

    StartAttempt command() {
        return command;
    }

    PendingRequest pendingRequest() {
        return pendingRequest;
    }

    boolean isSent() {
        return sent;
    }

    long startedAtMilliseconds() {
        return startedAtMilliseconds;
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress address, Channel connected) {
        onConnected(connected);
    }

    @Override
    public void onConnectionPooled(Channel pooled) {
        onConnected(pooled);
    }

    private void onConnected(Channel used) {
        channel = used;
        if (ended.get()) {
            used.close();
        }
    }

    @Override
    public void onConnectionOffer(Channel returned) {
        ReadGate.open(returned);
    }

    @Override
    public void onRequestSend(NettyRequest request) {
        if (clock.nowMilliseconds() > sendNotAfterMilliseconds) {
            fail(AttemptFailure.CONNECT_FAILED);
        }
        if (ended.get()) {
            // The close is processed before the write that follows this call, so the write sends nothing.
            closeChannel();
            return;
        }
        sent = true;
        lastByteMilliseconds = clock.nowMilliseconds();
        listener.onSent(this);
    }

    @Override
    public State onStatusReceived(HttpResponseStatus received) {
        recordActivity();
        status = received.getStatusCode();
        return ended.get() ? State.ABORT : State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        recordActivity();
        headSeen = true;
        return stateAfter(pendingRequest.onHead(this, status, headers));
    }

    /** AsyncHttpClient makes no headers callback for an answer without headers. */
    private boolean ensureHeadHandled() {
        return headSeen || onHeadersReceived(EmptyHttpHeaders.INSTANCE) == State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        recordActivity();
        if (!ensureHeadHandled()) {
            return State.ABORT;
        }
        State state = stateAfter(pendingRequest.onBytes(this, part.getBodyByteBuf()));
        if (state == State.CONTINUE) {
            reportProgress();
            pauseIfFull();
        }
        return state;
    }

    private State stateAfter(Optional<AttemptFailure> failure) {
        failure.ifPresent(this::fail);
        return ended.get() ? State.ABORT : State.CONTINUE;
    }

    @Override
    public Void onCompleted() {
        if (ended.get() || !ensureHeadHandled()) {
            return null;
        }
        Optional<AttemptFailure> failure = pendingRequest.onEnd(this);
        if (failure.isPresent()) {
            fail(failure.get());
        } else if (ended.compareAndSet(false, true)) {
            listener.onCompleted(this, pendingRequest.progress());
        }
        return null;
    }

    @Override
    public void onThrowable(Throwable failure) {
        fail(sent ? AttemptFailure.BROKEN : AttemptFailure.CONNECT_FAILED);
    }

    private void recordActivity() {
        lastByteMilliseconds = clock.nowMilliseconds();
    }

    /**
     * Reports progress only if no earlier report is pending or the weight version changed, so that a fast stream cannot
     * flood the decision thread.
     */
    private void reportProgress() {
        PendingRequest.Progress progress = pendingRequest.progress();
        boolean versionChanged = !progress.version().equals(reportedVersion);
        if (progress.received() == reportedTokens && !versionChanged) {
            return;
        }
        if (progressPending.compareAndSet(false, true) || versionChanged) {
            reportedTokens = progress.received();
            reportedVersion = progress.version();
            listener.onProgress(this, progress);
        }
    }

    void progressHandled() {
        progressPending.set(false);
    }

    // ---- Back-pressure ----

    private void pauseIfFull() {
        if (pendingRequest.isWritable()) {
            return;
        }
        paused = true;
        ReadGate.shut(channel);
        if (pendingRequest.isWritable()) {
            resumeReading();
        }
    }

    void resumeReading() {
        if (paused) {
            recordActivity();
            paused = false;
            ReadGate.open(channel);
        }
    }

    /**
     * Fails the attempt if its connect timeout or its progress timeout has elapsed.
     *
     * @param nowMilliseconds current time of the monotonic clock
     */
    void checkTimeouts(long nowMilliseconds) {
        if (!sent) {
            if (nowMilliseconds > startedAtMilliseconds + command.connectMilliseconds()) {
                fail(AttemptFailure.CONNECT_FAILED);
            }
        } else if (!paused && nowMilliseconds > lastByteMilliseconds + command.progressMilliseconds()) {
            fail(AttemptFailure.SILENT);
        }
    }

    /** Restarts the progress timeout after this process itself was paused. */
    void restartProgressTimeout() {
        recordActivity();
    }

    private void fail(AttemptFailure failure) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        closeChannel();
        PendingRequest.Progress progress = pendingRequest.progress();
        pendingRequest.detach(this);
        listener.onFailed(this, progress, failure);
    }

    /**
     * Ends the attempt without notifying the listener.
     *
     * @return false if it had already ended
     */
    boolean cancel() {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        pendingRequest.detach(this);
        closeChannel();
        return true;
    }

    private void closeChannel() {
        Channel used = channel;
        if (used != null) {
            used.close();
        }
    }
}
