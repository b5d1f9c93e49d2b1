package io.rosemarybeam.entry;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * The request line and headers of a request. Safe for use by several threads as long as the headers are not modified.
 *
 * @param method HTTP method
 * @param uri path and query as the caller sent them
 * @param headers the headers
 * @param keepAlive whether the connection stays open
 * @param versionOneZero whether the caller uses HTTP/1.0
 */
record HttpRequestHead(String method, String uri, HttpHeaders headers, boolean keepAlive, boolean versionOneZero) {
    static HttpRequestHead of(HttpRequest request) {
        return new HttpRequestHead(
                request.method().name(),
                request.uri(),
                request.headers(),
                HttpUtil.isKeepAlive(request),
                request.protocolVersion().equals(HttpVersion.HTTP_1_0));
    }

    /** Returns the path without the query, as the caller encoded it. */
    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns the segments of the path, still encoded. */
    List<String> segments() {
        return List.of(path().substring(1).split("/", -1));
    }

    /** Returns the first value of a query parameter. */
    Optional<String> parameter(String name) {
        List<String> values = new QueryStringDecoder(uri).parameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.getFirst());
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }
}
