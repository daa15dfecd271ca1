package standtwo;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Program of an engine. A request {@code POST /ROUTE/EVENTS/MILLIS} is answered with a stream of so
 * many events with a pause after each, without a length: the answer ends with its channel. With
 * {@code /plain} or {@code /quoting} at the end of the target it comes in chunks on a kept channel.
 *
 * <p>It prints what it runs. At SIGTERM it finishes what it runs and exits.
 */
final class Engine {
    private static final int BACKLOG = 256;

    private final String mId;
    private final AtomicInteger mRunning = new AtomicInteger();

    private Engine(String id) {
        mId = id;
    }

    /**
     * Serves until the process ends.
     *
     * @param arguments id and port; port 0 for a free one, which is printed
     */
    public static void main(String[] arguments) throws IOException {
        Engine engine = new Engine(arguments[0]);
        int port = Integer.parseInt(arguments[1]);
        try (ServerSocket server =
                new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress())) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> engine.finish(server)));
            print("port " + server.getLocalPort());
            while (!server.isClosed()) {
                engine.accept(server);
            }
        }
    }

    private void accept(ServerSocket server) throws IOException {
        try {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Thread.ofVirtual().start(() -> serve(socket));
        } catch (SocketException closed) {
            // The engine stops.
        }
    }

    private static synchronized void print(String line) {
        System.out.println(line);
        System.out.flush();
    }

    /** Accepts no more channels and finishes the requests that run, before the process ends. */
    private void finish(ServerSocket server) {
        try {
            server.close();
            while (mRunning.get() > 0) {
                Thread.sleep(1);
            }
        } catch (IOException failure) {
            print("failure: " + failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            HttpHead request = HttpHead.read(input);
            while (request != null) {
                input.readNBytes(request.length());
                mRunning.incrementAndGet();
                boolean keep;
                try {
                    keep = answer(request, socket.getOutputStream());
                    if (!keep) {
                        socket.shutdownOutput();
                    }
                } finally {
                    mRunning.decrementAndGet();
                }
                if (!keep) {
                    return;
                }
                request = HttpHead.read(input);
            }
        } catch (IOException broken) {
            // The caller has closed the channel.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Answers a request; returns whether the channel is kept. */
    private boolean answer(HttpHead request, OutputStream output)
            throws IOException, InterruptedException {
        String id = request.header("X-Wasabilug-Request-Id");
        String expected = request.header("X-Wasabilug-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            print("misdirected " + id + " expected " + expected);
            write(output, head("421 Misdirected Request", id) + "Content-Length: 0\r\n\r\n");
            return true;
        }
        if (request.target().startsWith("/health")) {
            write(
                    output,
                    "HTTP/1.1 200 OK\r\nX-Wasabilug-Instance-Id: "
                            + mId
                            + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        String[] path = request.target().split("/");
        int events = Integer.parseInt(path[2]);
        int millis = Integer.parseInt(path[3]);
        String last = request.header("Last-Event-Id");
        int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        print("run " + id + " from " + first + " " + request.target());
        boolean inChunks = path.length > 4;
        write(
                output,
                head("200 OK", id)
                        + "X-Wasabilug-Response-Seal: "
                        + mId
                        + "."
                        + id
                        + "\r\nContent-Type: text/event-stream\r\n"
                        + (inChunks
                                ? "Transfer-Encoding: chunked\r\n\r\n"
                                : "Connection: close\r\n\r\n"));
        for (int event = first; event <= events; event++) {
            String text = "id: " + event + "\r\ndata: " + text(event, events, path) + "\r\n\r\n";
            write(
                    output,
                    inChunks ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text);
            if (event < events) {
                Thread.sleep(millis);
            }
        }
        if (inChunks) {
            write(output, "0\r\n\r\n");
        }
        print("done " + id);
        return inChunks;
    }

    /** Returns the text of an event; a quoting stream quotes a status line in the middle. */
    private static String text(int event, int events, String[] path) {
        boolean quotes = path[path.length - 1].equals("quoting") && event == events / 2;
        return quotes ? "HTTP/1.1 100 Continue" : event + " of " + events;
    }

    private static String head(String status, String id) {
        return "HTTP/1.1 " + status + "\r\nX-Wasabilug-Request-Id: " + id + "\r\n";
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }
}
