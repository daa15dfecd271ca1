package org.wasabilug.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.FeatureSettings.MachineLimits;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.messages.gateway.RelayRequest;

/** What a relay replies to bytes of another instance, sound or not. */
class RelayListenerTest {
    private static final int TIMEOUT_MILLIS = 5_000;

    /** Relayed connections of the machine with the fewest descriptors. */
    private static final int RELAYS_OF_SMALLEST = 8;

    private static final int FLOOD_BLOCK_BYTES = 65_536;
    private static final int FLOOD_BLOCKS = 1_000;
    private static final byte[] LENGTH_OF_TWO_GIGABYTES = {
        (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x07
    };
    private static final RelayRequest REQUEST =
            RelayRequest.newBuilder()
                    .setSender("asking")
                    .setEndpoint(SocketEndpoint.NAME)
                    .setRequest("id")
                    .build();

    private RelayInstance mRelay;
    private SocketEndpoint mEndpoint;
    private Socket mSocket;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        mRelay = new RelayInstance("relay", "127.0.0.3");
        mEndpoint = new SocketEndpoint();
        mRelay.register(mEndpoint.registration());
        mSocket = connect();
    }

    @AfterEach
    void stop() throws IOException {
        mSocket.close();
        mRelay.close();
        mEndpoint.close();
    }

    @Test
    void aRequestInFragmentsOfOneByteIsRelayed() throws Exception {
        for (byte next : bytes(REQUEST)) {
            mSocket.getOutputStream().write(next);
            TimeUnit.MILLISECONDS.sleep(1);
        }

        assertThat(readStatus(mSocket)).isEqualTo(RelayReply.Status.OPENED);
        assertBytesPassInBothDirections(mSocket);
    }

    @Test
    void anEndpointThatIsNotKnownIsRefused() throws Exception {
        ask(REQUEST.toBuilder().setEndpoint("other").build());

        assertRefused(RelayReply.Status.NO_ENDPOINT);
    }

    @Test
    void anEndpointThatIsLeavingIsNotReachedThroughARelay() throws Exception {
        mRelay.register(mEndpoint.leaving());
        ask(REQUEST);

        assertRefused(RelayReply.Status.NO_ENDPOINT);
    }

    @Test
    void anEndpointWhoseDomainIsOutOfServiceIsNotReachedThroughARelay() throws Exception {
        mRelay.takeOutOfService(SocketEndpoint.DOMAIN);
        ask(REQUEST);

        assertRefused(RelayReply.Status.NO_ENDPOINT);
    }

    @Test
    void anInstanceThatIsStoppingRelaysNoNewConnection() throws Exception {
        mRelay.startStop();
        ask(REQUEST);

        assertRefused(RelayReply.Status.NO_CAPACITY);
    }

    /** Guards against a full relay that closes connections, which looks like its failure. */
    @Test
    void aRelayThatIsFullSaysSo() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try (RelayInstance small =
                new RelayInstance("small", "127.0.0.4", new MachineLimits(0, 1))) {
            small.register(mEndpoint.registration());
            for (int number = 0; number < RELAYS_OF_SMALLEST; number++) {
                assertThat(askNew(small, sockets)).isEqualTo(RelayReply.Status.OPENED);
            }
            assertThat(askNew(small, sockets)).isEqualTo(RelayReply.Status.NO_CAPACITY);
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static RelayReply.Status askNew(RelayInstance relay, List<Socket> sockets)
            throws IOException {
        Socket socket = new Socket(relay.address().getAddress(), relay.address().getPort());
        sockets.add(socket);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        REQUEST.writeDelimitedTo(socket.getOutputStream());
        return readStatus(socket);
    }

    @Test
    void anEndpointThatRefusesConnectionsIsReportedAsRefused() throws Exception {
        mRelay.register(SocketEndpoint.registration("refusing", unusedPort(), false));
        ask(REQUEST.toBuilder().setEndpoint("refusing").build());

        assertRefused(RelayReply.Status.REFUSED);
    }

    @Test
    void bytesThatAreNoRequestEndTheirConnectionAndAreLogged() throws Exception {
        mSocket.getOutputStream().write("\r\r\r\rGET / HTTP/1.1\r\n\r\n".getBytes());

        assertThat(endsSoon()).isTrue();
        assertThat(mRelay.logged("connection-not-relayed")).isEqualTo(1);
        assertOthersAreRelayed();
    }

    @Test
    void aLengthBeyondAnyRequestEndsTheConnectionAtOnce() throws Exception {
        mSocket.getOutputStream().write(LENGTH_OF_TWO_GIGABYTES);
        boolean ended = false;
        for (int block = 0; block < FLOOD_BLOCKS && !ended; block++) {
            ended = !written(new byte[FLOOD_BLOCK_BYTES]);
        }

        assertThat(ended).isTrue();
        assertThat(mRelay.logged("connection-not-relayed")).isEqualTo(1);
        assertOthersAreRelayed();
    }

    @Test
    void aSecondRequestOnOneConnectionEndsItAndTheConnectionToTheEndpoint() throws Exception {
        ByteArrayOutputStream twice = new ByteArrayOutputStream();
        REQUEST.writeDelimitedTo(twice);
        REQUEST.writeDelimitedTo(twice);
        mSocket.getOutputStream().write(twice.toByteArray());

        assertThat(endsSoon()).isTrue();
        assertThat(mRelay.connections()).isZero();
        assertOthersAreRelayed();
    }

    @Test
    void aConnectionOnWhichNoRequestArrivesIsClosed() throws Exception {
        assertThat(endsSoon()).isTrue();
        assertThat(mRelay.logged("connection-not-relayed")).isEqualTo(1);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(mRelay.address().getAddress(), mRelay.address().getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private void ask(RelayRequest request) throws IOException {
        request.writeDelimitedTo(mSocket.getOutputStream());
    }

    private static byte[] bytes(RelayRequest request) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        request.writeDelimitedTo(bytes);
        return bytes.toByteArray();
    }

    private static RelayReply.Status readStatus(Socket socket) throws IOException {
        return RelayReply.parseDelimitedFrom(socket.getInputStream()).getStatus();
    }

    private void assertRefused(RelayReply.Status status) throws IOException {
        assertThat(readStatus(mSocket)).isEqualTo(status);
        assertThat(mSocket.getInputStream().read()).isNegative();
        assertThat(mRelay.logged("connection-not-relayed")).isEqualTo(1);
    }

    private void assertOthersAreRelayed() throws IOException {
        try (Socket other = connect()) {
            REQUEST.writeDelimitedTo(other.getOutputStream());
            assertThat(readStatus(other)).isEqualTo(RelayReply.Status.OPENED);
        }
    }

    private void assertBytesPassInBothDirections(Socket asking) throws IOException {
        try (Socket endpoint = mEndpoint.accept()) {
            SocketEndpoint.write(asking, "there");
            assertThat(read(endpoint, "there")).isEqualTo("there");
            SocketEndpoint.write(endpoint, "back");
            assertThat(read(asking, "back")).isEqualTo("back");
        }
    }

    private static String read(Socket socket, String expected) throws IOException {
        byte[] bytes = socket.getInputStream().readNBytes(expected.length());
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Returns whether the relay ends the connection before the timeout. */
    private boolean endsSoon() throws IOException {
        try {
            while (mSocket.getInputStream().read() >= 0) {
                // A reply is allowed.
            }
            return true;
        } catch (SocketException reset) {
            return true;
        }
    }

    private boolean written(byte[] bytes) {
        try {
            mSocket.getOutputStream().write(bytes);
            return true;
        } catch (IOException ended) {
            return false;
        }
    }

    private static int unusedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
