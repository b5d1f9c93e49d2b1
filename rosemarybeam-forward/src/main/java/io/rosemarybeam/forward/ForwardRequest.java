package io.rosemarybeam.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.platform.PlatformHeaders;

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
        boolean mustRun) {
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
