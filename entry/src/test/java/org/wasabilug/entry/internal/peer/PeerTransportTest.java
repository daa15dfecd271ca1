package org.wasabilug.entry.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.ObjectKind;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.CrashEvidence;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.VersionedObject;
import org.wasabilug.port.WorkspaceUsage;

class PeerTransportTest {
    private static final PeerTransportLimits LIMITS =
            new PeerTransportLimits(64 << 10, 256 << 10, 8, 60, 5, 20);
    private static final ObjectKey POOL_KEY = new ObjectKey(ObjectKind.POOL, "retrievers");
    private static final PeerMessage HEARTBEAT =
            new PeerMessage.Heartbeat(7, new FailureDomainName("brest"), 12, -5, true, 3);

    private final BlockingQueue<PeerMessage> mArrived = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerMessage> mReplies = new LinkedBlockingQueue<>();
    private PeerTransport mReceiver;
    private PeerTransport mSender;

    @BeforeEach
    void open() {
        mReceiver = open("receiver", 0, mArrived);
        mSender = open("sender", 0, mReplies);
    }

    @AfterEach
    void close() {
        mSender.close();
        mReceiver.close();
    }

    private static PeerTransport open(String name, int port, BlockingQueue<PeerMessage> arrived) {
        return PeerTransport.builder()
                .name(new InstanceName(name))
                .incarnation(7)
                .listenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .receiver((sender, message) -> arrived.add(message))
                .limits(LIMITS)
                .open();
    }

    private static String addressOf(int port) {
        return "127.0.0.1:" + port;
    }

    private void send(PeerMessage message) {
        int port = mReceiver.listenAddress().getPort();
        mSender.send(new InstanceName("receiver"), addressOf(port), message);
    }

    private static PeerMessage next(BlockingQueue<PeerMessage> messages)
            throws InterruptedException {
        return messages.poll(30, TimeUnit.SECONDS);
    }

    @Test
    void transmitsEveryMessageTypeUnchanged() throws InterruptedException {
        Pool pool = Pool.builder().name(new PoolName("retrievers")).build();
        List<PeerMessage> messages =
                List.of(
                        HEARTBEAT,
                        new PeerMessage.Digest(3, 16, Map.of(POOL_KEY, 17L)),
                        new PeerMessage.ObjectsRequest(List.of(POOL_KEY)),
                        new PeerMessage.Objects(
                                List.of(
                                        new VersionedObject(POOL_KEY, 17, Optional.of(pool)),
                                        new VersionedObject(POOL_KEY, 18, Optional.empty()))),
                        new PeerMessage.Crashes(
                                List.of(
                                        new CrashEvidence(
                                                -9, new EndpointName("engine-1"), 4, true, 250))),
                        new PeerMessage.Usage(
                                Map.of(new WorkspaceName("dairy"), new WorkspaceUsage(2, 1.5))));

        messages.forEach(this::send);

        for (PeerMessage message : messages) {
            assertThat(next(mArrived)).isEqualTo(message);
        }
    }

    @Test
    void repliesOverInboundConnectionOfPeerWithUnknownAddress() throws InterruptedException {
        send(HEARTBEAT);
        next(mArrived);

        mReceiver.send(new InstanceName("sender"), "", HEARTBEAT);

        assertThat(next(mReplies)).isEqualTo(HEARTBEAT);
    }

    @Test
    void closesConnectionAfterOversizedFrameHeader() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mReceiver.listenAddress().getPort())) {
            socket.getOutputStream().write(new byte[] {-1, -1, -1, 127, 0, 0, 0, 0});
            socket.getOutputStream().flush();

            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }

        assertThat(mReceiver.counts().closedAfterErrors()).isEqualTo(1);
    }

    @Test
    void closesConnectionAfterInvalidSenderName() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mReceiver.listenAddress().getPort())) {
            socket.getOutputStream().write(new byte[] {4, 10, 2, ' ', ' '});
            socket.getOutputStream().flush();

            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }

        assertThat(mArrived).isEmpty();
    }

    @Test
    void dropsMessagesToPeerThatStopsReadingWithoutBlockingOthers() throws Exception {
        PeerMessage large = new PeerMessage.ObjectsRequest(keys(1_000));
        try (ServerSocket stalled = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            stalled.setReceiveBufferSize(4_096);
            String address = addressOf(stalled.getLocalPort());
            while (mSender.counts().dropped() == 0) {
                mSender.send(new InstanceName("silent"), address, large);
                send(HEARTBEAT);
                next(mArrived);
            }

            send(HEARTBEAT);

            assertThat(next(mArrived)).isEqualTo(HEARTBEAT);
        }
    }

    @Test
    void reconnectsAfterPeerRestart() throws InterruptedException {
        int port = mReceiver.listenAddress().getPort();
        send(HEARTBEAT);
        next(mArrived);
        mReceiver.close();
        mReceiver = open("receiver", port, mArrived);

        PeerMessage arrived = null;
        while (arrived == null) {
            send(HEARTBEAT);
            arrived = mArrived.poll(5, TimeUnit.MILLISECONDS);
        }

        assertThat(arrived).isEqualTo(HEARTBEAT);
    }

    @Test
    void dropsMessageThatExceedsFrameLimit() throws InterruptedException {
        send(new PeerMessage.ObjectsRequest(keys(4_000)));
        send(HEARTBEAT);

        assertThat(next(mArrived)).isEqualTo(HEARTBEAT);
        assertThat(mSender.counts().dropped()).isEqualTo(1);
    }

    private static List<ObjectKey> keys(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new ObjectKey(ObjectKind.WORKSPACE, "workspace-" + number))
                .toList();
    }
}
