package org.wasabilug.entry.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.Test;
import org.wasabilug.model.InstanceName;
import org.wasabilug.port.PeerMessage;

class PeerTransportEncryptionTest {
    private static final char[] PASSWORD = "test-only".toCharArray();
    private static final PeerMessage MESSAGE = new PeerMessage.ObjectsRequest(List.of());

    private final BlockingQueue<PeerMessage> mArrived = new LinkedBlockingQueue<>();

    private static KeyStore keyStore(String name) throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        try (InputStream stream =
                PeerTransportEncryptionTest.class.getResourceAsStream(name + ".p12")) {
            store.load(stream, PASSWORD);
        }
        return store;
    }

    private static KeyManagerFactory keys(String name)
            throws IOException, GeneralSecurityException {
        KeyManagerFactory factory =
                KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        factory.init(keyStore(name), PASSWORD);
        return factory;
    }

    private static TrustManagerFactory trusted(String name)
            throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, PASSWORD);
        store.setCertificateEntry(name, keyStore(name).getCertificate(name));
        TrustManagerFactory factory =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(store);
        return factory;
    }

    private PeerTransport open(String keys) throws IOException, GeneralSecurityException {
        SslContext server =
                SslContextBuilder.forServer(keys(keys))
                        .trustManager(trusted("peer"))
                        .clientAuth(ClientAuth.REQUIRE)
                        .build();
        SslContext client =
                SslContextBuilder.forClient()
                        .keyManager(keys(keys))
                        .trustManager(trusted("peer"))
                        .endpointIdentificationAlgorithm(null)
                        .build();
        return PeerTransport.builder()
                .name(new InstanceName("entry"))
                .listenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .receiver((sender, message) -> mArrived.add(message))
                .encryption(server, client)
                .open();
    }

    private static void send(PeerTransport sender, PeerTransport receiver) {
        String address = "127.0.0.1:" + receiver.listenAddress().getPort();
        sender.send(new InstanceName("entry"), address, MESSAGE);
    }

    @Test
    void transmitsMessagesBetweenInstancesThatTrustEachOther()
            throws IOException, GeneralSecurityException, InterruptedException {
        try (PeerTransport receiver = open("peer");
                PeerTransport sender = open("peer")) {
            send(sender, receiver);

            assertThat(mArrived.poll(30, TimeUnit.SECONDS)).isEqualTo(MESSAGE);
        }
    }

    @Test
    void refusesConnectionWithUntrustedCertificate() throws IOException, GeneralSecurityException {
        try (PeerTransport receiver = open("peer");
                PeerTransport stranger = open("stranger")) {
            while (receiver.counts().closedAfterErrors() == 0) {
                send(stranger, receiver);
                Thread.onSpinWait();
            }

            assertThat(receiver.counts().received()).isZero();
        }
    }
}
