package org.wasabilug.entry.internal.security;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.wasabilug.entry.internal.peer.PeerTransport;
import org.wasabilug.error.WasabilugException;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

class PeerEncryptionTest {
    private static final Path CERTIFICATE =
            Path.of("src/test/resources/tls/loopback-certificate.pem");
    private static final Path PRIVATE_KEY =
            Path.of("src/test/resources/tls/loopback-private-key.pem");
    private static final PeerMessage MESSAGE = new PeerMessage.ObjectsRequest(List.of());

    private final BlockingQueue<PeerMessage> mArrived = new LinkedBlockingQueue<>();

    @Test
    void letsInstancesOfOneAuthoritySpeak() throws InterruptedException {
        PeerEncryption encryption = PeerEncryption.read(CERTIFICATE, PRIVATE_KEY, CERTIFICATE);

        try (PeerTransport sender = open(encryption);
                PeerTransport receiver = open(encryption)) {
            String address = "127.0.0.1:" + receiver.listenAddress().getPort();
            sender.send(new InstanceName("entry"), address, MESSAGE);

            assertThat(mArrived.take()).isEqualTo(MESSAGE);
        }
    }

    @Test
    void saysWhichFilesCantBeUsed() {
        assertThatThrownBy(() -> PeerEncryption.read(PRIVATE_KEY, CERTIFICATE, CERTIFICATE))
                .isInstanceOf(WasabilugException.class)
                .hasMessageContaining(PRIVATE_KEY.toString());
    }

    private PeerTransport open(PeerEncryption encryption) {
        return PeerTransport.builder()
                .name(new InstanceName("entry"))
                .listenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .receiver((sender, message) -> mArrived.add(message))
                .encryption(encryption.server(), encryption.client())
                .open();
    }
}
