package org.wasabilug.gateway.internal.relay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.messages.gateway.RelayRequest;

/** The messages of a relay that a test plays itself. */
final class RelayMessages {
    private static final RelayReply OPENED =
            RelayReply.newBuilder().setStatus(RelayReply.Status.OPENED).build();

    private RelayMessages() {}

    /** Reads the request for a connection and replies that it is open. */
    static RelayRequest open(Socket socket) throws IOException {
        RelayRequest request = RelayRequest.parseDelimitedFrom(socket.getInputStream());
        OPENED.writeDelimitedTo(socket.getOutputStream());
        return request;
    }

    /** Reads the request for a connection and replies that the endpoint refuses it. */
    static void refuse(Socket socket) throws IOException {
        RelayRequest.parseDelimitedFrom(socket.getInputStream());
        RelayReply.newBuilder()
                .setStatus(RelayReply.Status.REFUSED)
                .build()
                .writeDelimitedTo(socket.getOutputStream());
    }

    /** Like {@link #open}, but each byte of the reply is sent on its own. */
    static void openInFragments(Socket socket) throws IOException {
        RelayRequest.parseDelimitedFrom(socket.getInputStream());
        socket.setTcpNoDelay(true);
        ByteArrayOutputStream reply = new ByteArrayOutputStream();
        OPENED.writeDelimitedTo(reply);
        for (byte next : reply.toByteArray()) {
            socket.getOutputStream().write(next);
        }
    }
}
