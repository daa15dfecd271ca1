package standthree;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The part of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** A request or a response; names of headers are in lower case. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Message read(InputStream in) throws IOException {
        return read(in, false);
    }

    /** Reads a message; throws EOFException if the connection ends before or within it. */
    static Message read(InputStream in, boolean response) throws IOException {
        String firstLine = line(in);
        Map<String, String> headers = headers(in);
        byte[] body;
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            body = chunks(in);
        } else if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("body cut");
            }
        } else {
            body = response ? in.readAllBytes() : new byte[0];
        }
        return new Message(firstLine, headers, body);
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new EOFException("chunk cut");
            }
            body.write(chunk);
            line(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static void respond(OutputStream out, String status, String headers, String body)
            throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        write(
                out,
                "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + length + "\r\n\r\n"
                        + body);
    }

    /** Serves the requests of a connection, one after another. */
    interface Handler {
        void handle(Message request, OutputStream out, Socket connection)
                throws IOException, InterruptedException;
    }

    /** Listens at a free port of a loopback address. */
    static final class Server implements AutoCloseable {
        private final ServerSocket mSocket = new ServerSocket();
        private final Set<Socket> mConnections = ConcurrentHashMap.newKeySet();
        private final Handler mHandler;

        Server(Handler handler) throws IOException {
            mHandler = handler;
            mSocket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1_024);
            Thread.ofVirtual().start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + mSocket.getLocalPort();
        }

        private void accept() {
            while (!mSocket.isClosed()) {
                try {
                    Socket connection = mSocket.accept();
                    mConnections.add(connection);
                    Thread.ofVirtual().start(() -> serve(connection));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                while (true) {
                    Message request = read(connection.getInputStream());
                    mHandler.handle(request, connection.getOutputStream(), connection);
                }
            } catch (IOException | InterruptedException ended) {
                // The caller has closed the connection, or the stand-in has.
            } finally {
                mConnections.remove(connection);
            }
        }

        void stopListening() throws IOException {
            mSocket.close();
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
            for (Socket connection : mConnections) {
                connection.close();
            }
        }
    }
}
