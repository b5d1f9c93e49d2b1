package io.rosemarybeam.entry;

import java.util.ArrayDeque;
import java.util.Queue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;
import io.rosemarybeam.common.wire.AnswerDecoder;
import org.asynchttpclient.netty.DiscardEvent;
import org.asynchttpclient.netty.channel.Channels;

/**
 * HTTP codec of a connection to an endpoint that shows whether bytes follow an answer, which the codec of AsyncHttpClient
 * does not.
 *
 * <p>Invariant: a connection that is idle in the pool has no undecoded bytes. Such bytes are the start of an extra answer, and
 * would become a part of the head of the next one. Confined to the event loop of its connection.
 */
final class EndpointCodec extends CombinedChannelDuplexHandler<EndpointCodec.MatchingDecoder, HttpRequestEncoder> {
    /** Name under which AsyncHttpClient adds its codec to a connection. */
    private static final String CODEC_NAME = "http";

    private EndpointCodec(MatchingDecoder decoder) {
        super(decoder, new RequestEncoder(decoder));
    }

    /**
     * Replaces the codec of a new connection, and adds a handler before it that closes the connection when bytes arrive on it
     * while it is idle, or with the answer after which it became idle.
     *
     * @param channel the connection
     * @param maximumHeaderBytes maximum size of the head of an answer, in bytes
     */
    static void install(Channel channel, int maximumHeaderBytes) {
        MatchingDecoder decoder = new MatchingDecoder(new HttpDecoderConfig().setMaxHeaderSize(maximumHeaderBytes));
        channel.pipeline().replace(HttpClientCodec.class, CODEC_NAME, new EndpointCodec(decoder));
        channel.pipeline().addFirst(new IdleGuard(decoder));
    }

    /** Decodes answers and knows which of them have no body because of their request. */
    static final class MatchingDecoder extends AnswerDecoder {
        /** Methods of the requests whose answers are not decoded yet. */
        private final Queue<HttpMethod> methods = new ArrayDeque<>();

        MatchingDecoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean isInformational = message instanceof HttpResponse answer
                    && answer.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (isInformational) {
                return super.isContentAlwaysEmpty(message);
            }
            HttpMethod method = methods.poll();
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
        }

        boolean hasUndecodedBytes() {
            return actualReadableBytes() > 0;
        }
    }

    /** Encodes requests and tells the decoder their methods. */
    private static final class RequestEncoder extends HttpRequestEncoder {
        private final MatchingDecoder decoder;

        RequestEncoder(MatchingDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
            if (message instanceof HttpRequest request) {
                decoder.methods.add(request.method());
            }
            super.write(context, message, promise);
        }
    }

    /** Closes an idle connection on which bytes arrive or have arrived. */
    private static final class IdleGuard extends ChannelInboundHandlerAdapter {
        private final MatchingDecoder decoder;

        IdleGuard(MatchingDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (isIdle(context)) {
                ReferenceCountUtil.release(message);
                context.close();
                return;
            }
            context.fireChannelRead(message);
            if (isIdle(context) && decoder.hasUndecodedBytes()) {
                context.close();
            }
        }

        private static boolean isIdle(ChannelHandlerContext context) {
            return Channels.getAttribute(context.channel()) == DiscardEvent.DISCARD;
        }
    }
}
