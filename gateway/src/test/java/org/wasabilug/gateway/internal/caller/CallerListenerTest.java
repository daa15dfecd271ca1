package org.wasabilug.gateway.internal.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.CallerSettings;
import org.wasabilug.serving.CallerLimits;

/** Limits on callers over real connections, with a fake of what serves requests. */
class CallerListenerTest {
    private static final int MAX_CONNECTIONS = 3;
    private static final int MAX_FIELDS = 50;
    private static final int MEMORY_BYTES = 200_000;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final long CHECK_MILLIS = 50;
    private static final CallerLimits LIMITS = new CallerLimits(16_384, 100_000, 300, 30_000);
    private static final CallerLimits SLOW_HEADERS =
            new CallerLimits(16_384, 100_000, 10_000, 30_000);
    private static final CallerLimits SHORT_IDLE = new CallerLimits(16_384, 100_000, 300, 1_000);
    private static final int LARGE_BYTES = 16 << 20;
    private static final int MAX_AHEAD_BYTES = 150_000;

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> mReceived = new CopyOnWriteArrayList<>();
    private final List<String> mLimited = new CopyOnWriteArrayList<>();
    private volatile Consumer<CallerExchange> mService = CallerListenerTest::respond;
    private volatile CallerLimits mLimits = LIMITS;
    private InetSocketAddress mAddress;

    private final CallerListener mListener =
            new CallerListener(
                    mLoops,
                    () -> mLimits,
                    () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                    new CallerEvents() {
                        @Override
                        public void received(CallerExchange exchange) {
                            mReceived.add(exchange.head().uri());
                            mService.accept(exchange);
                        }

                        @Override
                        public void unanswered(String reason, int requests) {}

                        @Override
                        public void refused(HttpResponseStatus status) {}

                        @Override
                        public void limited(String limit) {
                            mLimited.add(limit);
                        }
                    },
                    new CallerSettings(0, 0, MEMORY_BYTES, 0, MAX_FIELDS, 1_000),
                    MAX_CONNECTIONS);

    @BeforeEach
    void start() throws Exception {
        mAddress = mListener.listen(new InetSocketAddress("127.0.0.1", 0));
        mLoops.next()
                .scheduleAtFixedRate(
                        mListener::enforceTimeouts,
                        CHECK_MILLIS,
                        CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @AfterEach
    void stop() {
        mLoops.shutdownGracefully();
    }

    private static void respond(CallerExchange exchange) {
        byte[] body = exchange.head().uri().getBytes(StandardCharsets.UTF_8);
        exchange.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), body);
    }

    private Socket send(String text) throws IOException {
        Socket socket = new Socket(mAddress.getAddress(), mAddress.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static void respondLarge(CallerExchange exchange) {
        byte[] body = new byte[LARGE_BYTES];
        exchange.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), body);
    }

    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static String body(String path, int bytes) {
        return request(path, "Connection: close\r\nContent-Length: " + bytes + "\r\n");
    }

    private static String request(String path, String fields) {
        return "GET " + path + " HTTP/1.1\r\n" + fields + "\r\n";
    }

    /** Guards against pipelined requests that are lost, repeated or answered out of order. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        StringBuilder requests = new StringBuilder();
        StringBuilder paths = new StringBuilder();
        for (int number = 0; number < 2_000; number++) {
            requests.append(request("/" + number, ""));
            paths.append("/").append(number);
        }
        try (Socket socket = send(requests + request("/end", "Connection: close\r\n"))) {
            assertThat(readToEnd(socket)).endsWith("/end");
        }
        assertThat(String.join("", mReceived)).isEqualTo(paths + "/end");
    }

    /** Guards against a body of tiny chunks that is lost in part, as it is decoded in turns. */
    @Test
    void aBodyOfManyTinyChunksArrivesWhole() throws Exception {
        List<Integer> sizes = new CopyOnWriteArrayList<>();
        mService =
                exchange -> {
                    sizes.add(exchange.body().length);
                    respond(exchange);
                };
        String fields = "Transfer-Encoding: chunked\r\nConnection: close\r\n";
        String body = "1\r\nx\r\n".repeat(20_000) + "0\r\n\r\n";
        try (Socket socket = send(request("/chunks", fields) + body)) {
            assertThat(readToEnd(socket)).endsWith("/chunks");
        }
        assertThat(sizes).containsExactly(20_000);
    }

    /** Guards against a disconnect that stays unseen as the next request waits. */
    @Test
    void aDisconnectIsSeenWhileARequestWaits() throws Exception {
        List<String> cancelled = new CopyOnWriteArrayList<>();
        mService = exchange -> exchange.onClose(() -> cancelled.add(exchange.head().uri()));
        send(request("/1", "") + request("/2", "") + request("/3", "")).close();
        send(request("/4", "") + request("/5", "") + request("/6", ""));
        await(mReceived, "/4");
        Socket leaving = send(request("/7", "") + request("/8", "") + request("/9", ""));
        await(mReceived, "/7");
        leaving.close();
        await(cancelled, "/7");

        assertThat(mReceived).doesNotContain("/2", "/5", "/8");
    }

    /** Guards against heads that are received for as long as a byte arrives now and then. */
    @Test
    void aHeadThatTakesTooLongIsRefused() throws Exception {
        try (Socket socket = send("GET /1 HTTP/1.1\r\nSlow: ")) {
            assertThat(readToEnd(socket)).startsWith("HTTP/1.1 408");
        }
        assertThat(mLimited).containsExactly("header-time");
        assertThat(mReceived).isEmpty();
    }

    /** Guards against a body that never ends, and a refusal of a request that ran. */
    @Test
    void aBodyThatStopsIsRefused() throws Exception {
        try (Socket socket = send(request("/1", "Content-Length: 10\r\n") + "123456789")) {
            assertThat(readToEnd(socket)).startsWith("HTTP/1.1 408");
        }
        assertThat(mReceived).isEmpty();
    }

    @Test
    void aHeadOfTooManyFieldsIsRefused() throws Exception {
        try (Socket socket = send(request("/1", "a:\r\n".repeat(MAX_FIELDS + 1)))) {
            assertThat(readToEnd(socket)).startsWith("HTTP/1.1 431");
        }
        try (Socket socket =
                send(request("/2", "Connection: close\r\n" + "a:\r\n".repeat(MAX_FIELDS - 1)))) {
            assertThat(readToEnd(socket)).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against bodies that never end and take the memory of all others. */
    @Test
    void memoryIsTakenFromABodyThatStopped() throws Exception {
        mLimits = SLOW_HEADERS;
        try (Socket stopped = send(body("/stopped", 70_000) + "x".repeat(69_999));
                Socket moving = send(body("/moving", 80_000) + "x".repeat(79_900))) {
            for (int part = 0; part < 11; part++) {
                Thread.sleep(100);
                moving.getOutputStream().write('x');
            }
            try (Socket whole = send(body("/whole", 90_000) + "x".repeat(90_000))) {
                assertThat(readToEnd(whole)).startsWith("HTTP/1.1 200").endsWith("/whole");
            }
            assertThat(readToEnd(stopped)).startsWith("HTTP/1.1 503").contains("Retry-After: 1");
            moving.getOutputStream().write(new byte[89]);
            assertThat(readToEnd(moving)).startsWith("HTTP/1.1 200").endsWith("/moving");
        }
        assertThat(mReceived).containsExactly("/whole", "/moving");
        assertThat(mLimited).containsExactly("memory");
    }

    /** Guards against large bodies just short of their end that keep small requests out. */
    @Test
    void aSmallRequestIsServedBesideStoppedBodies() throws Exception {
        String large = request("/large", "Content-Length: 90000\r\n") + "x".repeat(89_999);
        try (Socket first = send(large);
                Socket second = send(large);
                Socket ordinary = send(request("/small", "Connection: close\r\n"))) {
            assertThat(readToEnd(ordinary)).endsWith("/small");
            assertThat(readToEnd(first)).startsWith("HTTP/1.1 4").contains("close");
            assertThat(readToEnd(second)).startsWith("HTTP/1.1 4").contains("close");
        }
        assertThat(mReceived).containsExactly("/small");
    }

    /** Guards against a stream that stays paused, as its writability changed unnoticed. */
    @Test
    void theWritabilityOfAStreamChangesOnlyWithANotification() throws Exception {
        List<CallerExchange> exchanges = new CopyOnWriteArrayList<>();
        mService = exchanges::add;
        ByteBuf part = Unpooled.directBuffer(LARGE_BYTES).writerIndex(LARGE_BYTES);
        try (Socket first = send(request("/1", ""));
                Socket second = send(request("/2", ""))) {
            await(mReceived, "/1");
            await(mReceived, "/2");
            List<Boolean> notified = new CopyOnWriteArrayList<>();
            mLoops.next()
                    .submit(
                            () -> {
                                CallerExchange stream = exchanges.get(0);
                                stream.onWritabilityChange(() -> notified.add(stream.writable()));
                                stream.startStream(HttpResponseStatus.OK, new DefaultHttpHeaders());
                                stream.write(part.retainedDuplicate());
                                exchanges
                                        .get(1)
                                        .startStream(
                                                HttpResponseStatus.OK, new DefaultHttpHeaders());
                                boolean before = stream.writable();
                                int seen = notified.size();
                                long heap = Runtime.getRuntime().maxMemory();
                                long budget = mListener.settings().outputBytes(heap);
                                while (mListener.output().totalBytes() < budget * 5 / 8) {
                                    exchanges.get(1).write(part.retainedDuplicate());
                                }
                                assertThat(notified).hasSize(seen);
                                assertThat(stream.writable()).isEqualTo(before);
                            })
                    .get();
            await(notified, false);
        } finally {
            part.release();
        }
    }

    /** Guards against a graceful stop that cuts a response which is not sent completely. */
    @Test
    void aStopDoesNotCutAResponseThatIsNotSentYet() throws Exception {
        mService = CallerListenerTest::respondLarge;
        try (Socket socket = send(request("/1", ""))) {
            await(mReceived, "/1");
            mLoops.next()
                    .scheduleAtFixedRate(
                            () -> {
                                mListener.startStopping();
                                mListener.closeIdle();
                            },
                            0,
                            CHECK_MILLIS,
                            TimeUnit.MILLISECONDS);
            Thread.sleep(300);
            assertThat(socket.getInputStream().readAllBytes()).hasSizeGreaterThan(LARGE_BYTES);
        }
    }

    /** Guards against a caller that pipelines without end while its first request is served. */
    @Test
    void littleIsReadBehindARequestThatWaits() throws Exception {
        mService = exchange -> {};
        try (Socket socket = send(request("/1", "") + request("/2", ""))) {
            await(mReceived, "/1");
            socket.getOutputStream().write(request("/3", "").getBytes(StandardCharsets.UTF_8));
            Thread.sleep(100);
            byte[] requests = request("/n", "").repeat(3_000).getBytes(StandardCharsets.UTF_8);
            Thread writer =
                    Thread.ofVirtual()
                            .start(
                                    () -> {
                                        try {
                                            for (int write = 0; write < 200; write++) {
                                                socket.getOutputStream().write(requests);
                                            }
                                        } catch (IOException closed) {
                                            // The end of the test closes the connection.
                                        }
                                    });
            Thread.sleep(1_000);
            long bytes = mLoops.next().submit(() -> mListener.memory().totalBytes()).get();
            assertThat(bytes).isPositive().isLessThan(MAX_AHEAD_BYTES);
            assertThat(mLimited).isEmpty();
            socket.close();
            writer.join();
        }
    }

    /** Guards against deadlines that start only when a pipelined request is decoded. */
    @Test
    void aPipelinedRequestCountsAsReceivedWhenItsBytesArrived() throws Exception {
        List<CallerExchange> exchanges = new CopyOnWriteArrayList<>();
        mService = exchanges::add;
        try (Socket socket = send(request("/1", "") + request("/2", "") + request("/3", ""))) {
            await(mReceived, "/1");
            Thread.sleep(400);
            socket.getOutputStream().write(request("/4", "").getBytes(StandardCharsets.UTF_8));
            Thread.sleep(400);
            for (int number = 0; number < 3; number++) {
                CallerExchange exchange = exchanges.get(number);
                mLoops.next().submit(() -> respond(exchange)).get();
                await(mReceived, "/" + (number + 2));
            }
            long first = exchanges.get(0).receivedMillis();
            assertThat(exchanges.get(2).receivedMillis() - first).isLessThan(200);
            assertThat(exchanges.get(3).receivedMillis() - first).isBetween(350L, 600L);
        }
    }

    /** Guards against a close of a caller that reads one large response steadily but slowly. */
    @Test
    void aLargeResponseThatIsReadSlowlyIsSentWhole() throws Exception {
        mLimits = SHORT_IDLE;
        mService = CallerListenerTest::respondLarge;
        try (Socket socket = send(request("/1", "Connection: close\r\n"))) {
            byte[] buffer = new byte[1 << 19];
            long total = 0;
            int read = socket.getInputStream().read(buffer);
            while (read >= 0) {
                total += read;
                Thread.sleep(60);
                read = socket.getInputStream().readNBytes(buffer, 0, buffer.length);
                read = read == 0 ? -1 : read;
            }
            assertThat(total).isGreaterThan(LARGE_BYTES);
        }
        assertThat(mLimited).isEmpty();
    }

    /** Guards against callers that are refused because others keep connections for nothing. */
    @Test
    void aNewConnectionTakesThePlaceOfAnIdleOne() throws Exception {
        mService = exchange -> mReceived.add("kept");
        try (Socket serving = send(request("/serving", ""))) {
            await(mReceived, "/serving");
            mService = CallerListenerTest::respond;
            try (Socket idle = send("");
                    Socket other = send("");
                    Socket next = send(request("/next", "Connection: close\r\n"))) {
                assertThat(readToEnd(next)).endsWith("/next");
                assertThat(readToEnd(idle)).isEmpty();
                assertThat(other.isConnected()).isTrue();
            }
        }
        assertThat(mLimited).containsExactly("connections");
    }

    /** Guards against callers that see a closed connection instead of a refusal. */
    @Test
    void aNewCallerIsRefusedWhenAllConnectionsServe() throws Exception {
        mService = exchange -> {};
        List<Socket> sockets = new ArrayList<>();
        for (int number = 0; number < MAX_CONNECTIONS; number++) {
            sockets.add(send(request("/" + number, "")));
            await(mReceived, "/" + number);
        }
        Socket silent = send("");
        sockets.add(silent);
        for (int number = 0; number < CallerListener.REFUSALS * 2; number++) {
            try (Socket refused = send(request("/refused", ""))) {
                assertThat(readToEnd(refused))
                        .startsWith("HTTP/1.1 503")
                        .containsIgnoringCase("Retry-After: 1");
            }
        }
        mService = CallerListenerTest::respond;
        sockets.removeFirst().close();
        awaitConnections(MAX_CONNECTIONS);
        byte[] free = request("/free", "Connection: close\r\n").getBytes(StandardCharsets.UTF_8);
        silent.getOutputStream().write(free);
        assertThat(readToEnd(silent)).endsWith("/free");
        assertThat(mReceived).containsExactly("/0", "/1", "/2", "/free");
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Guards against an unbounded number of connections that wait for their refusal. */
    @Test
    void connectionsThatWaitForARefusalAreBounded() throws Exception {
        mService = exchange -> {};
        List<Socket> sockets = new ArrayList<>();
        for (int number = 0; number < MAX_CONNECTIONS; number++) {
            sockets.add(send(request("/" + number, "")));
            await(mReceived, "/" + number);
        }
        for (int number = 0; number < CallerListener.REFUSALS * 2; number++) {
            sockets.add(send(""));
        }
        await(mLimited, "connections");
        assertThat(readToEnd(sockets.get(MAX_CONNECTIONS))).isEmpty();
        assertThat(mLoops.next().submit(mListener::connections).get())
                .isLessThanOrEqualTo(MAX_CONNECTIONS + CallerListener.REFUSALS);
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void awaitConnections(int expected) throws Exception {
        long until = System.currentTimeMillis() + TIMEOUT_MILLIS;
        while (mLoops.next().submit(mListener::connections).get() != expected) {
            assertThat(System.currentTimeMillis()).as("time to wait").isLessThan(until);
            Thread.sleep(5);
        }
    }

    private static <E> void await(List<E> list, E entry) throws InterruptedException {
        long until = System.currentTimeMillis() + TIMEOUT_MILLIS;
        while (!list.contains(entry)) {
            assertThat(System.currentTimeMillis())
                    .as("time to wait for %s", entry)
                    .isLessThan(until);
            Thread.sleep(5);
        }
    }
}
