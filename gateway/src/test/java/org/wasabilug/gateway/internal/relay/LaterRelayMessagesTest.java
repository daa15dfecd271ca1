package org.wasabilug.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.messages.gateway.RelayRequest;

/** Messages about relayed connections that a later version may write. */
class LaterRelayMessagesTest {
    private static final int LATER_STATUS = 99;

    private static final UnknownFieldSet LATER_FIELDS =
            UnknownFieldSet.newBuilder()
                    .addField(
                            LATER_STATUS,
                            UnknownFieldSet.Field.newBuilder()
                                    .addLengthDelimited(ByteString.copyFromUtf8("later"))
                                    .build())
                    .build();

    @Test
    void aReplyWithALaterStatusLeadsToTheNextRelay() throws Exception {
        try (RelayInstance second = new RelayInstance("second", "127.0.0.4");
                ServerSocket later = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                AskingInstance asking = new AskingInstance(second);
                SocketEndpoint endpoint = new SocketEndpoint()) {
            second.register(endpoint.registration());
            Thread.startVirtualThread(() -> replyWithLaterStatus(later));
            asking.relayThrough(
                    new Relay("later", (InetSocketAddress) later.getLocalSocketAddress()),
                    second.relay());

            RecordedAnswer answer = asking.send(endpoint.registration());
            try (Socket socket = endpoint.acceptRequest()) {
                SocketEndpoint.respond(socket, "id", "whole");
                assertThat(answer.end()).isEqualTo(RecordedAnswer.COMPLETE);
            }

            assertThat(asking.relayed()).contains("later UNRECOGNIZED", "second OPENED");
        }
    }

    private static void replyWithLaterStatus(ServerSocket relay) {
        try (Socket socket = relay.accept()) {
            RelayRequest.parseDelimitedFrom(socket.getInputStream());
            RelayReply.newBuilder()
                    .setStatusValue(LATER_STATUS)
                    .build()
                    .writeDelimitedTo(socket.getOutputStream());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    @Test
    void aRequestWithLaterFieldsIsRelayed() throws Exception {
        try (RelayInstance relay = new RelayInstance("first", "127.0.0.3");
                SocketEndpoint endpoint = new SocketEndpoint()) {
            relay.register(endpoint.registration());
            InetSocketAddress address = relay.relay().address();
            try (Socket asking = new Socket(address.getAddress(), address.getPort())) {
                RelayRequest.newBuilder()
                        .setSender("gateway-2")
                        .setEndpoint(endpoint.registration().name())
                        .setUnknownFields(LATER_FIELDS)
                        .build()
                        .writeDelimitedTo(asking.getOutputStream());

                assertThat(RelayReply.parseDelimitedFrom(asking.getInputStream()).getStatus())
                        .isEqualTo(RelayReply.Status.OPENED);
            }
        }
    }
}
