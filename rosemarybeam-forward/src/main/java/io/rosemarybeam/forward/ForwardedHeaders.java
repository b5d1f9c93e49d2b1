package io.rosemarybeam.forward;

import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Copies end-to-end headers and drops hop-by-hop headers. Stateless and safe for use by several threads. */
public final class ForwardedHeaders {
    /**
     * Hop-by-hop headers of HTTP/1.1, the length of the body, and {@code Expect}, which is answered per connection; in lower
     * case.
     */
    private static final Set<String> CONNECTION_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private ForwardedHeaders() {}

    /**
     * Copies the headers that are to be forwarded.
     *
     * @param source headers of a request or an answer
     * @return a copy without the headers that concern only the connection or the framing of the body, among them those
     *     that the {@code Connection} header lists
     */
    public static HttpHeaders copy(HttpHeaders source) {
        HttpHeaders copy = new DefaultHttpHeaders();
        String listed =
                String.join(",", source.getAll(HttpHeaderNames.CONNECTION)).toLowerCase(Locale.ROOT);
        for (Map.Entry<String, String> header : source) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!CONNECTION_HEADERS.contains(name) && !isListed(listed, name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }

    private static boolean isListed(String connectionHeader, String name) {
        for (String token : connectionHeader.split(",")) {
            if (token.trim().equals(name)) {
                return true;
            }
        }
        return false;
    }
}
