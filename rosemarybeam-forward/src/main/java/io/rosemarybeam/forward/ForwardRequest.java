package io.rosemarybeam.forward;

import java.util.Optional;
import java.util.OptionalInt;

import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.Workspace;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.PlatformHeaders;
import io.rosemarybeam.platform.SendCondition;
import io.rosemarybeam.platform.WorkspaceHeaders;

/**
 * A request to forward to an endpoint. Immutable, provided that headers and array are not changed.
 *
 * @param id id of the caller's attempt, which log lines carry; empty if the caller sent none
 * @param route the route that matched the request
 * @param service the service of the route that runs the request
 * @param method the HTTP method
 * @param uri path and query
 * @param headers headers of the caller
 * @param body the complete body; may be empty
 * @param deadline monotonic time at which the request times out, in milliseconds, see {@link Forwarder#now}
 * @param configurationVersion version of the configuration that has the route; written to the log
 * @param mustRun whether the request is never quarantined, because the system has promised to run it
 * @param condition asked immediately before each attempt is written, also for retries and hedges
 * @param handedOn how another host handed it on; empty if it came from its caller
 * @param workspace the workspace of its caller; if there is one, the headers contain neither its name nor a key
 */
public record ForwardRequest(
        String id,
        Route route,
        ServiceName service,
        String method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        long deadline,
        long configurationVersion,
        boolean mustRun,
        SendCondition condition,
        Optional<HandedOn> handedOn,
        Optional<Workspace> workspace) {
    /** Creates a request without a workspace, with the first parameters of the record. */
    public ForwardRequest(
            String id,
            Route route,
            ServiceName service,
            String method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            long deadline,
            long configurationVersion,
            boolean mustRun,
            SendCondition condition,
            Optional<HandedOn> handedOn) {
        this(
                id,
                route,
                service,
                method,
                uri,
                headers,
                body,
                deadline,
                configurationVersion,
                mustRun,
                condition,
                handedOn,
                Optional.empty());
    }

    /** Creates a request that may be sent as long as its caller waits, with the parameters of the record. */
    public ForwardRequest(
            String id,
            Route route,
            ServiceName service,
            String method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            long deadline,
            long configurationVersion,
            boolean mustRun,
            Optional<HandedOn> handedOn) {
        this(
                id,
                route,
                service,
                method,
                uri,
                headers,
                body,
                deadline,
                configurationVersion,
                mustRun,
                SendCondition.ALWAYS,
                handedOn);
    }

    /**
     * How another host handed a request on.
     *
     * @param sender name of the other host
     * @param attempts its attempts that count towards the maximum of the route
     */
    public record HandedOn(String sender, int attempts) {}

    /**
     * Returns whether the status of an endpoint that may have run this request must not reach the caller, who would take it for a
     * refusal and send the request again.
     *
     * @param status the status code of the endpoint
     * @return true for refusals of requests that must not be repeated
     */
    boolean isFalseRefusal(int status) {
        return !route.isRepeatable() && EndpointAnswer.isRefusal(status);
    }

    /** Returns the priority of the workspace; that of the route if the workspace has none, or there is no workspace. */
    public int priority() {
        return workspace
                .map(Workspace::priority)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.priority());
    }

    /**
     * Returns the headers that are forwarded. The name of the workspace is set after the hop-by-hop headers are dropped, because
     * a caller may list its header as one of them.
     */
    HttpHeaders forwardedHeaders() {
        HttpHeaders copy = ForwardedHeaders.copy(headers);
        workspace.ifPresent(known -> WorkspaceHeaders.setName(copy, known.name()));
        return copy;
    }

    /** Returns how long the caller still waits, in milliseconds. */
    long remaining() {
        return deadline - Forwarder.now();
    }

    /** Returns why the request must not be written any more; its time may be over when its connection opens after a stall. */
    Optional<String> refusal() {
        return remaining() <= 0 ? Optional.of("deadline passed") : condition.refusal();
    }

    /** Returns the maximum number of attempts of this host; another host may have made some of those of the route. */
    int maximumAttempts() {
        int used = handedOn.map(HandedOn::attempts).orElse(0);
        return Math.max(1, route.maximumAttempts() - used);
    }

    /** Returns the id of the attempt that brought the first event of the stream to resume; empty if none is named. */
    String resumedRequest() {
        String id = headers.get(PlatformHeaders.RESUMED_REQUEST);
        return id == null ? "" : id.trim();
    }

    /** Computes the fingerprint, which is the same for every resend; the id and the deadline differ. */
    Fingerprint fingerprint() {
        return Fingerprint.ofRequest(route.host(), method + " " + uri, body);
    }
}
