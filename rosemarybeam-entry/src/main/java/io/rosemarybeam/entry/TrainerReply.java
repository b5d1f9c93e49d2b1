package io.rosemarybeam.entry;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;

/**
 * Sends the answer to a trainer request that arrived by HTTP or from another entry. Safe for use by several threads.
 */
@FunctionalInterface
interface TrainerReply {
    /**
     * Sends the answer.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param body body
     */
    void send(int status, String contentType, byte[] body);

    default void json(int status, Object value) {
        send(status, "application/json", Json.write(value));
    }

    default void refuse(Problem problem) {
        send(problem.status(), Problem.MEDIA_TYPE, problem.body());
    }

    /** Returns a reply that answers an HTTP call. */
    static TrainerReply of(HttpCall call) {
        return (status, contentType, body) -> {
            DefaultHttpHeaders headers = new DefaultHttpHeaders();
            if (status == 503 || status == 429) {
                headers.set(HttpHeaderNames.RETRY_AFTER, 1);
            }
            call.respond(status, contentType, body, headers);
        };
    }
}
