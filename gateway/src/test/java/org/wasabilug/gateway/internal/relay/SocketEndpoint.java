package org.wasabilug.gateway.internal.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.wasabilug.serving.EndpointRegistration;
import org.wasabilug.serving.StoreRevision;

/** An endpoint whose connections a test reads and writes byte by byte. */
final class SocketEndpoint implements AutoCloseable {
    static final String NAME = "engine";
    static final String DOMAIN = "brest";
    private static final int TIMEOUT_MILLIS = 10_000;

    private final ServerSocket mServer;

    SocketEndpoint() throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        mServer.setSoTimeout(TIMEOUT_MILLIS);
    }

    EndpointRegistration registration() {
        return registration(NAME, mServer.getLocalPort(), false);
    }

    EndpointRegistration registration(String name) {
        return registration(name, mServer.getLocalPort(), false);
    }

    EndpointRegistration leaving() {
        return registration(NAME, mServer.getLocalPort(), true);
    }

    static EndpointRegistration registration(String name, int port, boolean leaving) {
        return new EndpointRegistration(
                name,
                "ledger",
                "127.0.0.1",
                port,
                DOMAIN,
                4,
                leaving,
                0,
                1,
                "v1",
                new StoreRevision(0, 1));
    }

    Socket accept() throws IOException {
        Socket socket = mServer.accept();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Accepts a connection and reads the head of a request. */
    Socket acceptRequest() throws IOException {
        Socket socket = accept();
        readHead(socket);
        return socket;
    }

    /** Reads up to the empty line after the headers. */
    static String readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("ended in the head: " + head);
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Begins a response whose end is marked by the end of the connection alone. */
    static void beginWithoutLength(Socket socket, String content) throws IOException {
        write(socket, "HTTP/1.1 200 OK\r\nId: id\r\n\r\n" + content);
    }

    static void respond(Socket socket, String id, String content) throws IOException {
        write(
                socket,
                "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s"
                        .formatted(id, content.length(), content));
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
