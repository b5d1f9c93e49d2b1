package io.rosemarybeam.common.wire;

import java.util.Map;

/**
 * The recorded answer to a non-idempotent request.
 *
 * <p>Invariant: the body has at most {@value #MAXIMUM_BODY_BYTES} bytes. The body array must not be changed after
 * construction; with that, safe for use by several threads.
 *
 * @param status HTTP status
 * @param headers the headers to return to the caller
 * @param body the body
 * @param truncated whether the answer had a body that was not recorded, for example because it was too large
 */
public record RequestOutcome(int status, Map<String, String> headers, byte[] body, boolean truncated) {
    /** Maximum size of a recorded body, in bytes. */
    public static final int MAXIMUM_BODY_BYTES = 65_536;

    public RequestOutcome {
        headers = Map.copyOf(headers);
    }
}
