package io.rosemarybeam.entry;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Selects the headers that the entry forwards. Stateless and safe for use by several threads. */
final class ProxyHeaders {
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");
    private static final Set<String> REPLACED_REQUEST_HEADERS = Set.of(
            "host",
            "content-length",
            "expect",
            "x-attempt-id",
            "x-priority",
            "x-resume-offset",
            "x-deadline-milliseconds");
    private static final List<String> TRACE_HEADERS = List.of("traceparent", "tracestate", "x-request-id");

    private ProxyHeaders() {}

    /**
     * Returns the headers of a request for the endpoint.
     *
     * @param headers as the caller sent them
     * @return the headers without hop-by-hop headers and without those that the entry sets itself
     */
    static HttpHeaders forEndpoint(HttpHeaders headers) {
        HttpHeaders result = copy(headers);
        REPLACED_REQUEST_HEADERS.forEach(result::remove);
        return result;
    }

    /**
     * Returns the headers of a completion request for the engine. Only trace headers of the caller are forwarded:
     * others, such as accepted encodings, could change the stream that the entry parses.
     */
    static HttpHeaders forEngine(HttpHeaders headers) {
        HttpHeaders result = new DefaultHttpHeaders();
        result.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        result.set(HttpHeaderNames.ACCEPT, "text/event-stream");
        for (String name : TRACE_HEADERS) {
            String value = headers.get(name);
            if (value != null) {
                result.set(name, value);
            }
        }
        return result;
    }

    /**
     * Returns the headers of an answer for the caller.
     *
     * @param headers as the endpoint sent them
     * @return the headers without hop-by-hop headers and without the attempt id
     */
    static HttpHeaders forCaller(HttpHeaders headers) {
        HttpHeaders result = copy(headers);
        result.remove(EndpointHeaders.ATTEMPT_ID);
        return result;
    }

    private static HttpHeaders copy(HttpHeaders headers) {
        HttpHeaders result = new DefaultHttpHeaders();
        result.set(headers);
        for (String options : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : options.split(",")) {
                result.remove(token.trim().toLowerCase(Locale.ROOT));
            }
        }
        HOP_BY_HOP_HEADERS.forEach(result::remove);
        return result;
    }
}
