package io.rosemarybeam.entry;

import java.net.InetSocketAddress;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.asynchttpclient.Request;
import org.asynchttpclient.channel.DefaultKeepAliveStrategy;
import org.asynchttpclient.channel.KeepAliveStrategy;

/**
 * Reuses a connection only after answers that name their attempt. An endpoint may send a late copy of an answer, which would
 * count as the answer to the next request on the connection if it names no attempt. Stateless.
 */
final class IdentifiedKeepAlive implements KeepAliveStrategy {
    private final KeepAliveStrategy protocol = new DefaultKeepAliveStrategy();

    @Override
    public boolean keepAlive(
            InetSocketAddress remoteAddress, Request request, HttpRequest sentRequest, HttpResponse response) {
        String attempt = sentRequest.headers().get(EndpointHeaders.ATTEMPT_ID);
        return attempt != null
                && attempt.equals(response.headers().get(EndpointHeaders.ATTEMPT_ID))
                && protocol.keepAlive(remoteAddress, request, sentRequest, response);
    }
}
