package io.rosemarybeam.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the answer of a plain service. Implementations are called by one thread at a time; see
 * {@link PendingRequest}.
 */
interface PlainReceiver {
    /**
     * A streamed answer starts.
     *
     * @param status HTTP status
     * @param headers headers
     */
    void start(int status, HttpHeaders headers);

    /**
     * A part of a streamed answer arrived.
     *
     * @param bytes the part; the receiver releases it
     */
    void write(ByteBuf bytes);

    /** A streamed answer is complete. */
    void finish();

    /**
     * A complete answer arrived that was not streamed.
     *
     * @param status HTTP status
     * @param headers headers
     * @param body body
     */
    void respond(int status, HttpHeaders headers, byte[] body);

    /**
     * The request ended without a complete answer.
     *
     * @param problem the reason
     */
    void refuse(Problem problem);

    /**
     * Returns whether the receiver accepts more data now.
     *
     * @return false while the sender must pause
     */
    boolean isWritable();

    /** Returns a receiver that forwards the answer to a caller. */
    static PlainReceiver of(HttpCall call) {
        return new HttpPlainReceiver(call);
    }

    /** Forwards an answer to a caller. Called by one thread at a time. */
    final class HttpPlainReceiver implements PlainReceiver {
        private final HttpCall call;

        private HttpPlainReceiver(HttpCall call) {
            this.call = call;
        }

        @Override
        public void start(int status, HttpHeaders headers) {
            call.start(status, headers);
        }

        @Override
        public void write(ByteBuf bytes) {
            call.write(bytes);
        }

        @Override
        public void finish() {
            call.finish();
        }

        @Override
        public void respond(int status, HttpHeaders headers, byte[] body) {
            call.respond(status, body, headers);
        }

        @Override
        public void refuse(Problem problem) {
            if (call.isStarted()) {
                call.abort();
            } else {
                call.refuse(problem);
            }
        }

        @Override
        public boolean isWritable() {
            return call.isWritable();
        }
    }
}
