package standtwo;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** One channel of a consumer; sends requests one after another. */
final class Caller implements AutoCloseable {
    private final int mPort;
    private final Consumer<String> mRecord;
    private Socket mSocket;
    private InputStream mInput;

    /**
     * Creates a channel that is not open yet.
     *
     * @param port port of the gateway
     * @param record receives a line for each request that is sent
     */
    Caller(int port, Consumer<String> record) {
        mPort = port;
        mRecord = record;
    }

    /**
     * What a consumer got.
     *
     * @param status status; 0 if the channel ended without a head
     * @param body what arrived of the body
     * @param complete whether the end of the body arrived
     * @param kept whether the channel had carried a request before
     */
    record Answer(int status, String seal, String body, boolean complete, boolean kept) {
        long events() {
            return body.lines().filter(line -> line.startsWith("id: ")).count();
        }

        @Override
        public String toString() {
            return "status "
                    + status
                    + ", events "
                    + events()
                    + (complete ? ", complete" : ", cut")
                    + (kept ? ", on a kept channel" : "");
        }
    }

    /** Sends a request and reads its answer. */
    Answer call(String target, String id, int deadlineMillis) throws IOException {
        return call(target, id, deadlineMillis, event -> {});
    }

    /** Sends a request and reads its answer; tells the number of events after each. */
    Answer call(String target, String id, int deadlineMillis, IntConsumer progress)
            throws IOException {
        return call(target, id, deadlineMillis, "", progress);
    }

    /** Takes a stream up again that an earlier try began. */
    Answer takeUp(String target, String id, int deadlineMillis, String began, long lastEvent)
            throws IOException {
        String headers = "Resumes: " + began + "\r\nLast-Event-Id: " + lastEvent + "\r\n";
        return call(target, id, deadlineMillis, headers, event -> {});
    }

    private Answer call(
            String target, String id, int deadlineMillis, String headers, IntConsumer progress)
            throws IOException {
        boolean kept = mSocket != null;
        if (!kept) {
            mSocket = new Socket(InetAddress.getLoopbackAddress(), mPort);
            mSocket.setTcpNoDelay(true);
            mInput = new BufferedInputStream(mSocket.getInputStream());
        }
        mSocket.setSoTimeout(deadlineMillis + 2_000);
        String content = "{\"request\":" + Json.quote(id) + "}";
        String request =
                "POST "
                        + target
                        + " HTTP/1.1\r\nHost: records.example\r\nX-Wasabilug-Request-Id: "
                        + id
                        + "\r\nX-Wasabilug-Deadline-Ms: "
                        + deadlineMillis
                        + "\r\nX-Wasabilug-Model: m\r\nX-Wasabilug-Token-Counts: 100,50\r\n"
                        + "X-Wasabilug-Prefix-Hash: "
                        + id
                        + ":100\r\nAuthorization: Token key-1\r\n"
                        + headers
                        + "Content-Length: "
                        + content.length()
                        + "\r\n\r\n"
                        + content;
        StringBuilder body = new StringBuilder();
        int status = 0;
        String seal = "";
        boolean complete = false;
        mRecord.accept("sent " + id + " " + target + headers.replace("\r\n", " "));
        try {
            mSocket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            HttpHead head = HttpHead.read(mInput);
            if (head != null) {
                status = head.status();
                seal = head.header("X-Wasabilug-Response-Seal");
                complete = readBody(head, body, progress);
                if (!complete || head.header("Connection").equalsIgnoreCase("close")) {
                    close();
                }
            } else {
                close();
            }
        } catch (IOException broken) {
            close();
        }
        return new Answer(status, seal, body.toString(), complete, kept);
    }

    private boolean readBody(HttpHead head, StringBuilder body, IntConsumer progress)
            throws IOException {
        if (!head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            byte[] bytes = mInput.readNBytes(head.length());
            body.append(new String(bytes, StandardCharsets.ISO_8859_1));
            return bytes.length == head.length();
        }
        int events = 0;
        while (true) {
            String size = HttpHead.line(mInput);
            if (size == null) {
                return false;
            }
            int length = Integer.parseInt(size.trim(), 16);
            byte[] bytes = mInput.readNBytes(length);
            String text = new String(bytes, StandardCharsets.ISO_8859_1);
            body.append(text);
            if (bytes.length < length || HttpHead.line(mInput) == null) {
                return false;
            }
            if (length == 0) {
                return true;
            }
            events += (int) text.lines().filter(line -> line.startsWith("id: ")).count();
            progress.accept(events);
        }
    }

    @Override
    public void close() throws IOException {
        if (mSocket != null) {
            mSocket.close();
            mSocket = null;
        }
    }
}
