package standthree;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;

/**
 * A model server in a process of its own, so that it can be killed. A few of its streams have no
 * length and end with their connections; the others are chunked. It prints its address when it
 * listens.
 */
final class StreamEngine {
    static final int EVENTS = 60;
    private static final long EVENT_MILLIS = 50;

    /** Share of the answers without a length: the dose of the site's entries of kind garble. */
    private static final double UNFRAMED = 0.03;

    private StreamEngine() {}

    public static void main(String[] arguments) throws Exception {
        String id = arguments[0];
        Http.Server server = new Http.Server((request, out, connection) -> handle(id, request, out, connection));
        System.out.println(server.address());
        System.out.flush();
        // Ends by itself if the case is gone.
        Thread.sleep(110_000);
        System.exit(0);
    }

    private static void handle(String id, Http.Message request, OutputStream out, Socket connection)
            throws IOException, InterruptedException {
        String expected = request.header("X-Wasabilug-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Http.respond(out, "421 Misdirected Request", Engine.echo(request), "");
            return;
        }
        String last = request.header("Last-Event-Id");
        int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        boolean framed = Math.random() >= UNFRAMED;
        Http.write(
                out,
                "HTTP/1.1 200 OK\r\n" + Engine.echo(request) + "X-Wasabilug-Response-Seal: " + id
                        + "." + request.header("X-Wasabilug-Request-Id")
                        + "\r\nContent-Type: text/event-stream\r\n"
                        + (framed ? "Transfer-Encoding: chunked" : "Connection: close")
                        + "\r\n\r\n");
        for (int event = first; event <= EVENTS; event++) {
            Thread.sleep(EVENT_MILLIS);
            String text = "id: " + event + "\ndata: piece " + event + " of " + EVENTS + "\n\n";
            String size = Integer.toHexString(text.length()) + "\r\n";
            Http.write(out, framed ? size + text + "\r\n" : text);
        }
        if (framed) {
            Http.write(out, "0\r\n\r\n");
        } else {
            connection.close();
        }
    }
}
