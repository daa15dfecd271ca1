package org.wasabilug.gateway.internal.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.GatewaySettings;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.DecisionLog;
import org.wasabilug.internal.serving.ColdLimits;
import org.wasabilug.internal.serving.RetryLimits;
import org.wasabilug.serving.EndpointRegistration;

/** A write fails at once, as its connection was reset and the event loop has not seen that. */
class FailedWriteTest {
    private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 0\r\n\r\n";

    /** Well before the deadline of any request. */
    private static final long AT_ONCE_MILLIS = 1_500;

    private static final long RESET_ARRIVES_MILLIS = 100;

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EndpointConnections mConnections =
            new EndpointConnections(mLoops, "Id", GatewayState::clockMillis, "gateway-1");
    private ServerSocket mServer;

    /** How a call ended. */
    private static final class Ending implements CallListener {
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();

        @Override
        public void headReceived(HttpResponse head) {}

        @Override
        public void contentReceived(ByteBuf content) {}

        @Override
        public void completed() {
            mEnd.complete("completed");
        }

        @Override
        public void failed(CallFailure failure) {
            mEnd.complete(failure.name());
        }

        String await() throws Exception {
            return mEnd.get(AT_ONCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @BeforeEach
    void start() throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        // The state routes the connections.
        new GatewayState(
                new GatewaySettings(
                        "gateway-1",
                        "rennes",
                        UNUSED_ADDRESS,
                        UNUSED_ADDRESS,
                        UNUSED_ADDRESS,
                        UNUSED_ADDRESS,
                        UNUSED_ADDRESS,
                        new RetryLimits(0.2, 50, 10_000),
                        new ColdLimits(1.5, 5),
                        1,
                        8_000),
                null,
                mLoops.next(),
                mConnections,
                new DecisionLog(new MetricRegistry(), GatewayState::clockMillis));
    }

    @AfterEach
    void stop() throws IOException {
        mLoops.shutdownGracefully();
        mServer.close();
    }

    private void send(Ending ending) {
        EndpointRegistration endpoint =
                new EndpointRegistration(
                        "ledger-0",
                        "ledger",
                        "127.0.0.1",
                        mServer.getLocalPort(),
                        "rennes",
                        8,
                        false,
                        0,
                        0,
                        "v1",
                        1);
        OutgoingRequest request =
                new OutgoingRequest(
                        "id", HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0], true);
        mConnections.send(endpoint, request, ending);
    }

    @Test
    void aCallFailsAtOnceIfItsConnectionWasResetUnnoticed() throws Exception {
        Ending first = new Ending();
        mLoops.execute(() -> send(first));
        Socket connection = mServer.accept();
        connection.getInputStream().read(new byte[1_000]);
        connection.getOutputStream().write(ANSWER.getBytes(StandardCharsets.UTF_8));
        assertThat(first.await()).isEqualTo("completed");

        Ending second = new Ending();
        mLoops.submit(
                        () -> {
                            connection.setSoLinger(true, 0);
                            connection.close();
                            Thread.sleep(RESET_ARRIVES_MILLIS);
                            send(second);
                            return null;
                        })
                .get();

        assertThat(second.await()).isEqualTo("BROKEN");
    }
}
