package org.wasabilug.gateway.internal.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.CallerSettings;
import org.wasabilug.serving.CallerLimits;

/** Requests that arrive while the event loop does not run, as during a start or a pause. */
class DepartedCallerTest {
    private static final int MAX_CONNECTIONS = 100;
    private static final String REQUEST = "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n";

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> mReceived = new CopyOnWriteArrayList<>();
    private final CountDownLatch mStaying = new CountDownLatch(1);

    private final CallerListener mListener =
            new CallerListener(
                    mLoops,
                    () -> CallerLimits.DEFAULT,
                    System::currentTimeMillis,
                    new CallerEvents() {
                        @Override
                        public void received(CallerExchange exchange) {
                            mReceived.add(exchange.head().uri());
                            mStaying.countDown();
                        }

                        @Override
                        public void unanswered(String reason, int requests) {}

                        @Override
                        public void refused(HttpResponseStatus status) {}

                        @Override
                        public void limited(String limit) {}
                    },
                    CallerSettings.DEFAULT,
                    MAX_CONNECTIONS);

    @AfterEach
    void stop() {
        mLoops.shutdownGracefully();
    }

    private static Socket send(InetSocketAddress address, String path) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.getOutputStream().write(REQUEST.formatted(path).getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    @Test
    void aRequestIsNotServedIfItsCallerLeftBeforeItWasRead() throws Exception {
        InetSocketAddress address = mListener.listen(new InetSocketAddress("127.0.0.1", 0));
        CountDownLatch running = new CountDownLatch(1);
        mLoops.execute(
                () -> {
                    try {
                        running.await();
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                });
        for (int index = 0; index < 20; index++) {
            send(address, "left").close();
        }
        try (Socket staying = send(address, "staying")) {
            running.countDown();
            assertThat(mStaying.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(staying.isConnected()).isTrue();
        }

        assertThat(mReceived).containsExactly("/staying");
    }
}
