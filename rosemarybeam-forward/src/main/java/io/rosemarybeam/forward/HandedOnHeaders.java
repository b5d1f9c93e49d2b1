package io.rosemarybeam.forward;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.forward.ForwardRequest.HandedOn;

/** Headers between hosts of requests that are handed on. Stateless and safe for use by several threads. */
public final class HandedOnHeaders {
    /** Name of the host that hands the request on. */
    private static final String SENDER = "Handed-On-By";

    /** Attempts of the sender that count towards the maximum of the route. */
    private static final String ATTEMPTS = "Handed-On-Attempts";

    private HandedOnHeaders() {}

    static void set(HttpHeaders headers, HandedOn handedOn) {
        headers.set(SENDER, handedOn.sender());
        headers.set(ATTEMPTS, handedOn.attempts());
    }

    /**
     * Reads and removes the headers, so that endpoints do not get them.
     *
     * @param headers headers of a request from another host
     * @return how it was handed on; empty if a header is missing, malformed or negative
     */
    public static Optional<HandedOn> take(HttpHeaders headers) {
        String sender = headers.get(SENDER);
        String attempts = headers.get(ATTEMPTS);
        headers.remove(SENDER);
        headers.remove(ATTEMPTS);
        try {
            return sender == null || attempts == null
                    ? Optional.empty()
                    : Optional.of(new HandedOn(sender, Integer.parseInt(attempts)))
                            .filter(handedOn -> handedOn.attempts() >= 0);
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
