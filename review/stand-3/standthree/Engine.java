package standthree;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound server of the platform; what it answers may be replaced by a case. */
class Engine implements AutoCloseable {
    private static final String REGISTRATION =
            """
            {"service":"%s","address":"%s","zone":"caxias-a","version":"v1","slots":%d,
             "state":"%s","cold_left_ms":0,"seq_no":1,"born":%d}
            """;

    private final String mId;
    private final String mService;
    private final int mSlots;
    private final Store mStore;
    private final Record mRecord;
    private final Http.Server mServer;
    private final AtomicInteger mRuns = new AtomicInteger();
    private final AtomicInteger mHandles = new AtomicInteger();
    private final long mBorn = System.currentTimeMillis();

    Engine(String id, String service, int slots, Store store, Record record) throws IOException {
        mId = id;
        mService = service;
        mSlots = slots;
        mStore = store;
        mRecord = record;
        mServer = new Http.Server(this::handle);
    }

    String id() {
        return mId;
    }

    String address() {
        return mServer.address();
    }

    int runs() {
        return mRuns.get();
    }

    void register(String state) {
        mStore.put(
                "servers",
                mId,
                REGISTRATION.formatted(mService, address(), mSlots, state, mBorn));
    }

    private void handle(Http.Message request, OutputStream out, Socket connection)
            throws IOException, InterruptedException {
        String expected = request.header("X-Wasabilug-Expect-Instance");
        String echo = echo(request);
        if (!expected.isEmpty() && !expected.equals(mId)) {
            Http.respond(out, "421 Misdirected Request", echo + identity(), "");
        } else if (request.target().equals("/health")) {
            Http.respond(out, "200 OK", identity(), "");
        } else if (request.target().equals("/v1/stage-run")) {
            produce(request, out);
        } else if (request.target().equals("/v1/stage-free")) {
            Http.respond(out, "200 OK", "", "");
        } else {
            run(request, out, connection);
        }
    }

    /** Makes a result for each item of the call. */
    private void produce(Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        int items = request.text().split("\"piece\"", -1).length - 1;
        Thread.sleep(20);
        StringBuilder body = new StringBuilder();
        for (int item = 0; item < items; item++) {
            body.append(item == 0 ? "" : ",")
                    .append("{\"handle\":\"" + address() + "/" + mHandles.incrementAndGet() + "\"}");
        }
        Http.respond(
                out,
                "200 OK",
                "Content-Type: application/json\r\n",
                "{\"items\":[" + body + "]}");
    }

    private String identity() {
        return "X-Wasabilug-Instance-Id: " + mId + "\r\n";
    }

    static String echo(Http.Message request) {
        return "X-Wasabilug-Request-Id: " + request.header("X-Wasabilug-Request-Id") + "\r\n";
    }

    String seal(Http.Message request) {
        return "X-Wasabilug-Response-Seal: " + mId + "." + request.header("X-Wasabilug-Request-Id")
                + "\r\n";
    }

    private void run(Http.Message request, OutputStream out, Socket connection)
            throws IOException, InterruptedException {
        mRuns.incrementAndGet();
        answer(request, out, connection);
    }

    /** Answers a request that this server runs: with two events on a route of streams. */
    void answer(Http.Message request, OutputStream out, Socket connection)
            throws IOException, InterruptedException {
        String headers = echo(request) + seal(request);
        if (request.target().startsWith("/chat/")) {
            String events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            Http.respond(out, "200 OK", headers + "Content-Type: text/event-stream\r\n", events);
        } else {
            Http.respond(out, "200 OK", headers, "answer of " + mId);
        }
    }

    /** Takes no new channels; those that are open go on. */
    void stopListening() throws IOException {
        mServer.stopListening();
    }

    void record(String text) {
        mRecord.line(mId + ": " + text);
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
