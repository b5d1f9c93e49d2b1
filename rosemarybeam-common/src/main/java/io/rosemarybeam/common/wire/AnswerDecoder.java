package io.rosemarybeam.common.wire;

import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes HTTP answers and refuses those whose status HTTP does not define.
 *
 * <p>Netty takes any number as a status, also 000 and 600. A receiver would wait for a final answer after a status below 200, or
 * pass one above 599 on to a caller.
 *
 * <p>Invariant: the status of each decoded answer has three digits and lies between 100 and 599; any other answer has a failed
 * decoder result. Confined to the event loop of its connection.
 */
public class AnswerDecoder extends HttpResponseDecoder {
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    /** Creates a decoder with the standard limits of Netty. */
    public AnswerDecoder() {}

    /**
     * Creates a decoder.
     *
     * @param config limits on the head of an answer
     */
    public AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("the status is not a number from 100 to 599");
        }
        return super.createMessage(initialLine);
    }
}
