package io.rosemarybeam.edge;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against callers that get a broken answer framed as a complete one, or a part of one answer followed by another one.
 */
class BrokenAnswersTest {
    /** Edges learn of each other from the status of the store host, which it sends every 250 ms. */
    private static final long STATUS_MILLISECONDS = 1_000;

    private static final String HEAD = "Rosemarybeam-Request-Id: {id}\r\nRosemarybeam-Server-Stamp: d\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n" + HEAD;
    private static final String STREAM = OK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String EVENT_1 = event(1);
    private static final String EVENT_2 = event(2);
    private static final String EVENT_3 = event(3);

    private static final String BROKEN = "] broken";

    /** What callers get if every endpoint broke off, or if none takes the request. */
    private static final String BAD_GATEWAY = "502 [] complete";

    @TempDir
    Path folder;

    private final RawAnswers endpoints = new RawAnswers(2);
    private PlatformCluster cluster;
    private int requests;

    /** Path of a request through the edges; also their number in the cluster. */
    private enum Entrance {
        /** The edge sends the request to endpoints. */
        DIRECT,
        /** The edge reaches no endpoint and hands the request on to the other one. */
        HANDED_ON
    }

    /** Answers of the next endpoint, and what the caller gets if the answer before broke before its first byte. */
    private static final Map<String, String> NEXT = new LinkedHashMap<>();

    static {
        NEXT.put(STREAM + chunk(EVENT_2) + chunk(EVENT_3) + LAST_CHUNK, "200 [" + EVENT_2 + EVENT_3 + "] complete");
        NEXT.put(STREAM + chunk(EVENT_2), "200 [" + EVENT_2 + "] broken");
        NEXT.put(STREAM + "f", "200 [] broken");
        NEXT.put(STREAM + chunk(EVENT_2) + "4\r\nid: ", "200 [" + EVENT_2 + "id: ] broken");
        NEXT.put(OK + "Content-Type: text/event-stream\r\n\r\n" + EVENT_2, "200 [" + EVENT_2 + "] complete");
        NEXT.put(OK + "Content-Type: text/event-stream\r\n\r\nid: 2", "200 [id: 2] broken");
        NEXT.put(OK + "Content-Type: text/event-stream\r\n\r\n", "200 [] broken");
        NEXT.put(RawAnswers.RESET + OK + "\r\n" + EVENT_2, "200 [" + EVENT_2 + "] broken");
        NEXT.put(OK + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", "200 [{}] complete");
        NEXT.put(OK + "Content-Length: 0\r\n\r\n", "200 [] complete");
        NEXT.put(OK + "Content-Length: 9\r\n\r\nid: 2", "200 [id: 2] broken");
        NEXT.put("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nerror", BAD_GATEWAY);
        NEXT.put("HTTP/1.1 500 Error\r\n" + HEAD + "Content-Length: 5\r\n\r\nerror", "500 [error] complete");
        NEXT.put("HTTP/1.1 500 Error\r\n" + HEAD + "Content-Length: 9\r\n\r\nerror", BAD_GATEWAY);
        NEXT.put("HTTP/1.1 404 Not Found\r\n" + HEAD + "Content-Length: 2\r\n\r\nno", "404 [no] complete");
        NEXT.put("HTTP/1.1 503 Full\r\nRosemarybeam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", BAD_GATEWAY);
        NEXT.put("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", BAD_GATEWAY);
        NEXT.put("HTTP/1.1 200 OK\r\nRosemarybeam-Requ", BAD_GATEWAY);
        NEXT.put(STREAM.substring(0, STREAM.length() - 2), BAD_GATEWAY);
        NEXT.put("error", BAD_GATEWAY);
        NEXT.put("", BAD_GATEWAY);
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: text " + id + "\n\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    @BeforeEach
    void start() throws IOException, InterruptedException {
        cluster = new PlatformCluster(folder);
        cluster.startStore();
        String host = PlatformCluster.STORE_HOST;
        cluster.configure("""
                {"Version":1,"Routes":[
                {"Name":"i","Hostname":"%s","PathPrefix":"/x/","RouteType":"idempotent",
                "TimeoutMs":2500,"TargetLatencyMs":2000,"Priority":0,"Backend":"desk","MaxAttempts":2},
                {"Name":"o","Hostname":"%s","PathPrefix":"/o/","RouteType":"non_idempotent",
                "TimeoutMs":2500,"TargetLatencyMs":2000,"Priority":0,"Backend":"desk","MaxAttempts":2},
                {"Name":"s","Hostname":"%s","PathPrefix":"/s/","RouteType":"streaming",
                "TimeoutMs":2500,"TargetLatencyMs":2000,"Priority":0,"Backend":"desk","MaxAttempts":2},
                {"Name":"r","Hostname":"%s","PathPrefix":"/r/","RouteType":"streaming","Resumable":true,
                "TimeoutMs":2500,"TargetLatencyMs":2000,"Priority":0,"Backend":"desk","MaxAttempts":2}],
                "Services":[{"Name":"desk","HealthPath":"/healthz","MaxConnections":50,"Protocol":"h1","Tls":false}]}
                """.formatted(host, host, host, host));
        cluster.announce("e-0", endpoints.address(0), 1);
        cluster.announce("e-1", endpoints.address(1), 1);
        String unreachable;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unreachable = "127.0.0.1:" + socket.getLocalPort();
        }
        cluster.startEdge(Entrance.DIRECT.ordinal());
        cluster.startEdge(
                Entrance.HANDED_ON.ordinal(), address -> address.startsWith("127.0.0.1:") ? unreachable : address);
        Thread.sleep(STATUS_MILLISECONDS);
        for (Entrance entrance : Entrance.values()) {
            PlatformCluster.await(
                    "the edge serves",
                    () -> cluster.request(entrance.ordinal(), "ready-" + requests++, "x") == 200 ? true : null);
        }
    }

    @AfterEach
    void close() {
        cluster.close();
        endpoints.close();
    }

    /** Sends a request whose attempts are answered with the given bytes, and compares what the caller gets. */
    private void check(List<String> mismatches, Entrance entrance, String path, List<String> answers, String expected) {
        String id = "b-" + requests++;
        endpoints.script(id, answers);
        String got = cluster.exchange(entrance.ordinal(), path, id);
        if (!got.equals(expected) && !isBrokenStartOf(got, expected)) {
            mismatches.add(path + " " + answers + ": " + got + " instead of " + expected);
        }
    }

    /** A client may drop bytes that it has not delivered when the connection breaks. */
    private static boolean isBrokenStartOf(String got, String expected) {
        boolean areBroken = got.endsWith(BROKEN) && expected.endsWith(BROKEN);
        return areBroken && expected.startsWith(got.substring(0, got.length() - BROKEN.length()));
    }

    private static void assertNone(List<String> mismatches) {
        assertEquals("", String.join("\n", mismatches).replace("\r", "\\r"));
    }

    /** A stream that broke off would be continued with the answer of another endpoint, or end as if it were complete. */
    @ParameterizedTest
    @EnumSource(Entrance.class)
    void shouldBreakOffWhenAStreamBreaksWhateverTheNextEndpointAnswers(Entrance entrance) {
        Map<String, String> streams = new LinkedHashMap<>();
        streams.put(STREAM, "200 [] broken");
        streams.put(STREAM + chunk(EVENT_1), "200 [" + EVENT_1 + "] broken");
        streams.put(STREAM + chunk(EVENT_1) + "9\r\nid: 2\ndat\r\n", "200 [" + EVENT_1 + "id: 2\ndat] broken");
        streams.put(STREAM + chunk(EVENT_1) + "f\r\nid", "200 [" + EVENT_1 + "id] broken");
        streams.put(STREAM + chunk(EVENT_1) + "1", "200 [" + EVENT_1 + "] broken");
        streams.put(STREAM + chunk(EVENT_1) + "0\r\n", "200 [" + EVENT_1 + "] broken");
        streams.put(STREAM + chunk(EVENT_1) + "error", "200 [" + EVENT_1 + "] broken");
        streams.put(RawAnswers.RESET + STREAM + chunk(EVENT_1), "200 [" + EVENT_1 + "] broken");
        List<String> mismatches = new ArrayList<>();
        streams.forEach((stream, expected) -> {
            for (String next : NEXT.keySet()) {
                check(mismatches, entrance, "/s/1", List.of(stream, next), expected);
                check(mismatches, entrance, "/r/1", List.of(stream, next), expected);
            }
        });

        assertNone(mismatches);
    }

    /** A head that stops would be passed on as an answer with an empty body, also if the next endpoint fails. */
    @ParameterizedTest
    @EnumSource(Entrance.class)
    void shouldPassOnOnlyTheNextAnswerWhenTheFirstStopsBeforeItsBody(Entrance entrance) {
        List<String> mismatches = new ArrayList<>();
        NEXT.forEach((next, expected) -> {
            for (String first : List.of("", "HTTP/1.1 200 OK\r\nRosemarybeam-Server-St", RawAnswers.RESET)) {
                check(mismatches, entrance, "/r/1", List.of(first, next), expected);
                check(mismatches, entrance, "/s/1", List.of(first, next), BAD_GATEWAY);
                check(mismatches, entrance, "/o/1", List.of(first, next), BAD_GATEWAY);
            }
        });

        assertNone(mismatches);
    }

    /** A plain answer is passed on whole or not at all. */
    @ParameterizedTest
    @EnumSource(Entrance.class)
    void shouldPassOnOnlyWholeAnswersWhenARepeatableRequestIsRepeated(Entrance entrance) {
        List<String> broken = List.of(
                OK + "Content-Length: 9\r\n\r\nerror",
                OK + "Content-Length: 9\r\n\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n" + chunk("error"),
                OK + "Transfer-Encoding: chunked\r\n\r\n" + chunk("error") + "zz\r\n",
                RawAnswers.RESET + OK + "\r\nerror",
                OK.substring(0, OK.length() - 1));
        List<String> mismatches = new ArrayList<>();
        for (String first : broken) {
            NEXT.forEach((next, expected) -> check(
                    mismatches,
                    entrance,
                    "/x/1",
                    List.of(first, next),
                    expected.endsWith(BROKEN) ? BAD_GATEWAY : expected));
        }

        assertNone(mismatches);
    }

    /** A long plain answer is passed on before it is complete, and must then not be replaced or ended. */
    @ParameterizedTest
    @EnumSource(Entrance.class)
    void shouldBreakOffWhenALongAnswerBreaks(Entrance entrance) {
        String body = "x".repeat(2 * 1_048_576);
        List<String> mismatches = new ArrayList<>();
        Stream.of("Content-Length: 9999999\r\n\r\n" + body, "Transfer-Encoding: chunked\r\n\r\n" + chunk(body))
                .forEach(first -> check(
                        mismatches,
                        entrance,
                        "/x/1",
                        List.of(OK + first, "HTTP/1.1 500 Error\r\n" + HEAD + "Content-Length: 5\r\n\r\nerror"),
                        "200 [" + body + "] broken"));

        assertEquals(0, mismatches.size());
    }

    /** The caller would get the part of the head that arrived as an answer. */
    @ParameterizedTest
    @EnumSource(Entrance.class)
    void shouldFailWhenTheHeadOfAStreamStopsAfterAnyByte(Entrance entrance) {
        List<String> mismatches = new ArrayList<>();
        IntStream.range(0, STREAM.length())
                .forEach(length ->
                        check(mismatches, entrance, "/s/1", List.of(STREAM.substring(0, length)), BAD_GATEWAY));

        assertNone(mismatches);
    }
}
