package io.rosemarybeam.common.wire;

import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rosemarybeam.common.wire.HandshakeMessage.Role;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against an event loop that waits for direct memory: a store leader answered all reads that a stalled disk had
 * delayed in one turn, each answer took a direct buffer of its size, and beyond the limit the loop stood for 13 s.
 */
class WireTransportMemoryTest {
    /** Replies to the peer that does not read; together they exceed the direct memory of the process. */
    private static final int REPLIES = 100;

    /** Size of a reply, in characters of one byte; the largest page of results. */
    private static final int REPLY_CHARACTERS = 900_000;

    /** Direct memory of the process, as in deploy/system.toml; with less, the allocator has no pool. */
    private static final String DIRECT_MEMORY_OPTION = "-XX:MaxDirectMemorySize=64m";

    /** Most direct memory that the process may take, in bytes: one chunk of the allocator for each of three event loops. */
    private static final long MAXIMUM_DIRECT_BYTES = 12 * 1_048_576;

    /**
     * Longest time that a task may wait for the loop, in milliseconds; to encode all replies takes some hundred on a busy
     * machine, and each refused allocation about 500.
     */
    private static final long MAXIMUM_DELAY_MILLISECONDS = 2_000;

    @Test
    void shouldKeepLoopRunningWhenRepliesExceedDirectMemory() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx256m",
                        DIRECT_MEMORY_OPTION,
                        "-cp",
                        System.getProperty("java.class.path"),
                        Program.class.getName())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, Long> measured = output.lines()
                    .filter(line -> line.startsWith("measured "))
                    .map(line -> line.split(" "))
                    .collect(Collectors.toMap(fields -> fields[1], fields -> Long.valueOf(fields[2])));

            assertEquals(3, measured.size(), output);
            assertTrue(measured.get("delay") <= MAXIMUM_DELAY_MILLISECONDS, measured::toString);
            assertTrue(measured.get("direct") <= MAXIMUM_DIRECT_BYTES, measured::toString);
            assertEquals(REPLIES, measured.get("received"), measured::toString);
        } finally {
            process.destroyForcibly();
        }
    }

    /** Answers many requests of a peer that does not read, and prints what that took. */
    static final class Program {
        private static final Duration TIMEOUT = Duration.ofSeconds(60);
        private static final WireSettings SETTINGS =
                new WireSettings(Duration.ofSeconds(30), TIMEOUT, Duration.ofSeconds(5), Duration.ofSeconds(5));

        private Program() {}

        public static void main(String[] arguments) {
            try {
                measure();
            } catch (Exception failure) {
                System.out.println(failure);
            }
            Runtime.getRuntime().halt(0);
        }

        private static void measure() throws Exception {
            NioEventLoopGroup serverLoops = new NioEventLoopGroup(1);
            NioEventLoopGroup clientLoops = new NioEventLoopGroup(1);
            AtomicInteger answered = new AtomicInteger();
            char[] characters = new char[REPLY_CHARACTERS];
            Arrays.fill(characters, 'x');
            Message answer = new CommonReply.DumpReply(new String(characters));
            Channel server = WireTransport.of(serverLoops, SETTINGS)
                    .listen(
                            "127.0.0.1:0",
                            "server",
                            new Secrets("cluster", Optional.empty()),
                            (connection, correlation, message) -> {
                                answered.incrementAndGet();
                                connection.reply(correlation, answer);
                            });
            WireConnection connection = WireTransport.of(clientLoops, SETTINGS)
                    .connect(
                            "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort(),
                            new Credentials(Role.CONTROL, "client", 1, "cluster"),
                            (from, correlation, message) -> {})
                    .get(20, TimeUnit.SECONDS);
            CountDownLatch reads = new CountDownLatch(1);
            List<CompletableFuture<Message>> replies = new ArrayList<>();
            clientLoops.submit(() -> {
                for (int request = 0; request < REPLIES; request++) {
                    replies.add(connection.request(new OperatorRequest.DumpRequest(), TIMEOUT));
                }
                return reads.await(50, TimeUnit.SECONDS);
            });
            long delay = 0;
            long direct = 0;
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (answered.get() < REPLIES && System.nanoTime() < end) {
                long start = System.nanoTime();
                serverLoops.submit(() -> {}).sync();
                delay = Math.max(delay, System.nanoTime() - start);
                direct = Math.max(direct, directBytes());
                Thread.sleep(1);
            }
            System.out.println("measured delay " + TimeUnit.NANOSECONDS.toMillis(delay));
            System.out.println("measured direct " + Math.max(direct, directBytes()));
            reads.countDown();
            replies.forEach(reply -> reply.completeOnTimeout(null, 10, TimeUnit.SECONDS));
            long received = replies.stream()
                    .filter(reply ->
                            answer.equals(reply.exceptionally(failure -> null).join()))
                    .count();
            System.out.println("measured received " + received);
        }

        private static long directBytes() {
            return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                    .filter(pool -> pool.getName().equals("direct"))
                    .mapToLong(BufferPoolMXBean::getMemoryUsed)
                    .sum();
        }
    }
}
