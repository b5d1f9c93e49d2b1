package io.rosemarybeam.forward;

import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.forward.ForwardRequest.HandedOn;

/** Headers between hosts of requests that are handed on. Stateless and safe for use by several threads. */
public final class HandedOnHeaders {
    /** Name of the host that hands the request on. */
    private static final String SENDER = "Handed-On-By";

    /** Attempts of the sender that count towards the maximum of the route. */
    private static final String ATTEMPTS = "Handed-On-Attempts";

    /** Marks each answer to an end of a submission that another edge has sent to the address for other edges. */
    private static final String END_TAKEN = "Handed-On-End";

    private HandedOnHeaders() {}

    /**
     * Returns the headers of an answer to an end that another edge has handed over.
     *
     * @return headers that mark the end as taken
     */
    public static HttpHeaders ofTakenEnd() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(END_TAKEN, "1");
        return headers;
    }

    /**
     * Returns whether another edge has taken an end.
     *
     * @param headers headers of its answer
     * @return false if it did not, as one of an earlier release does
     */
    public static boolean isEndTaken(HttpHeaders headers) {
        return headers.contains(END_TAKEN);
    }

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
