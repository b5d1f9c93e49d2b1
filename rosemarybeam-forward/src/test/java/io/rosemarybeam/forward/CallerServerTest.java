package io.rosemarybeam.forward;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.rosemarybeam.decision.routing.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that were read in full and get no answer, or an incomplete one. */
class CallerServerTest {
    /** More than the send and receive buffers of a connection hold. */
    private static final int LONG_ANSWER_BYTES = 32 * 1_048_576;

    private static final int MAXIMUM_BODY_BYTES = 33_554_432;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int TIMEOUT_MILLISECONDS = 10_000;
    private static final int CHUNKS = 3_000;
    private static final long SILENCE_MILLISECONDS = 300;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop loop = loops.next();
    private final BlockingQueue<CallerExchange> exchanges = new LinkedBlockingQueue<>();
    private final List<Socket> callers = new ArrayList<>();
    private int port;
    private CallerServer server;

    @BeforeEach
    void start() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        CallerLimits limits =
                new CallerLimits(16_384, MAXIMUM_BODY_BYTES, Duration.ofSeconds(3), Duration.ofSeconds(15));
        server = CallerServer.open(loops, "127.0.0.1:" + port, () -> limits, exchanges::add);
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        loop.execute(server::close);
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket();
        caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        caller.setSoTimeout(TIMEOUT_MILLISECONDS);
        caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        callers.add(caller);
        return caller;
    }

    private static void send(Socket caller, String text) throws IOException {
        OutputStream out = caller.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static String get(String path, String headers) {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
    }

    private CallerExchange nextExchange() throws InterruptedException {
        CallerExchange exchange = exchanges.poll(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        assertNotNull(exchange, "no request arrived");
        return exchange;
    }

    private void answer(CallerExchange exchange, byte[] body) {
        loop.submit(() -> exchange.answer(200, new DefaultHttpHeaders(), body)).syncUninterruptibly();
    }

    /** Reads the head of an answer and returns it, or what arrived before the connection ended. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                break;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private int openExchanges() throws Exception {
        return loop.submit(server::openExchanges).get();
    }

    /** A process that stops closes its connections and exits once no request is open. */
    @Test
    void shouldCountARequestAsOpenWhenItsAnswerIsNotWrittenYet() throws Exception {
        Socket caller = connect();
        send(caller, get("/long", ""));
        answer(nextExchange(), new byte[LONG_ANSWER_BYTES]);

        assertEquals(1, openExchanges());

        String head = readHead(caller.getInputStream());
        int received = caller.getInputStream().readNBytes(LONG_ANSWER_BYTES).length;
        assertTrue(head.startsWith("HTTP/1.1 200 "), head);
        assertEquals(LONG_ANSWER_BYTES, received);
        assertEquals(0, openExchanges());
    }

    /** A request that is passed on behind an answer with Connection: close runs without an answer. */
    @Test
    void shouldNotPassOnAPipelinedRequestWhenTheAnswerBeforeClosesTheConnection() throws Exception {
        Socket caller = connect();
        send(caller, get("/long", "Connection: close\r\n") + get("/next", ""));
        answer(nextExchange(), new byte[LONG_ANSWER_BYTES]);

        assertNull(exchanges.poll(SILENCE_MILLISECONDS, TimeUnit.MILLISECONDS));
    }

    /** A caller may send its next requests, with bodies in many parts, before it reads the first answer. */
    @Test
    void shouldAnswerEveryRequestWhenALaterOneArrivesInManyParts() throws Exception {
        Socket caller = connect();
        send(caller, get("/first", ""));
        CallerExchange first = nextExchange();
        send(
                caller,
                "POST /second HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(CHUNKS)
                        + "0\r\n\r\n");
        Thread.sleep(SILENCE_MILLISECONDS);

        answer(first, new byte[0]);
        String firstHead = readHead(caller.getInputStream());
        CallerExchange second = nextExchange();
        answer(second, new byte[0]);

        assertTrue(firstHead.startsWith("HTTP/1.1 200 "), firstHead);
        assertEquals(CHUNKS, second.body().length);
        assertTrue(readHead(caller.getInputStream()).startsWith("HTTP/1.1 200 "));
    }

    /** A connection that is closed while the caller sends is reset, which can discard the answer. */
    @Test
    void shouldDeliverTheRefusalWhenTheCallerGoesOnSendingABodyThatIsTooLong() throws Exception {
        Socket caller = connect();
        send(caller, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + (MAXIMUM_BODY_BYTES + 1L) + "\r\n\r\n");
        Thread.sleep(SILENCE_MILLISECONDS);

        caller.getOutputStream().write(new byte[MAXIMUM_BODY_BYTES + 1]);

        String head = readHead(caller.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 413 "), head);
    }
}
