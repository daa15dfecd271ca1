import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of an engine: registers itself in the store and answers requests. */
final class Engine {
    static final long HEARTBEAT_MILLIS = 1_200;

    private final Store mStore;
    private final Journal mRecord;
    private final String mId;
    private final String mService;
    private final String mZone;
    private final boolean mStreams;
    private final ServerSocket mServer;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private volatile String mState = "ready";
    private volatile boolean mRegistered = true;
    private volatile boolean mEnded;
    private volatile long mWorkMillis = 20;
    private volatile int mEvents = 3;
    private volatile long mEventMillis = 10;
    private volatile String mVersion = "v1";
    private long mSequence;

    Engine(Store store, Journal record, String id, String service, String zone, boolean streams)
            throws Exception {
        mStore = store;
        mRecord = record;
        mId = id;
        mService = service;
        mZone = zone;
        mStreams = streams;
        mServer = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Thread.startVirtualThread(this::accept);
        register();
        Thread.startVirtualThread(this::heartbeats);
    }

    String id() {
        return mId;
    }

    void workMillis(long millis) {
        mWorkMillis = millis;
    }

    /** Sets how many events a stream has, and the time between them. */
    void events(int count, long millis) {
        mEvents = count;
        mEventMillis = millis;
    }

    /** Sets the version of the engine's software, and registers with it. */
    void version(String version) {
        mVersion = version;
        register();
    }

    int port() {
        return mServer.getLocalPort();
    }

    private void heartbeats() {
        try {
            Thread.sleep((long) (Math.random() * HEARTBEAT_MILLIS));
            while (!mEnded) {
                Thread.sleep(HEARTBEAT_MILLIS);
                if (!mStore.away() && mRegistered) {
                    register();
                }
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the entry; returns the version that the store confirms. */
    synchronized long register() {
        mSequence++;
        return mStore.put(
                "servers",
                mId,
                "{\"service\":\""
                        + mService
                        + "\",\"address\":\"127.0.0.1:"
                        + mServer.getLocalPort()
                        + "\",\"zone\":\""
                        + mZone
                        + "\",\"version\":\""
                        + mVersion
                        + "\",\"slots\":"
                        + (mStreams ? 64 : 6)
                        + ",\"state\":\""
                        + mState
                        + "\",\"cold_left_ms\":0,\"seq_no\":"
                        + mSequence
                        + "}");
    }

    /** Reports that the engine leaves. */
    long drain() {
        mState = "draining";
        return register();
    }

    /** Takes the entry out, as an engine does that reports nothing before it leaves. */
    long unregister() {
        mRegistered = false;
        return mStore.remove("servers", mId);
    }

    void end() {
        mEnded = true;
        try {
            mServer.close();
        } catch (Exception ignored) {
            // It is closed already.
        }
        mOpen.forEach(Engine::close);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (Exception ignored) {
            // It is closed already.
        }
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                mOpen.add(socket);
                Thread.startVirtualThread(() -> serve(socket));
            } catch (Exception closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Message request;
            while ((request = Http.read(in)) != null) {
                answer(request, out);
            }
        } catch (Exception closed) {
            // The caller is gone.
        } finally {
            mOpen.remove(socket);
        }
    }

    private void answer(Http.Message request, OutputStream out) throws Exception {
        String id = request.header("X-Wasabilug-Request-Id");
        String expected = request.header("X-Wasabilug-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            Http.write(
                    out,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Wasabilug-Request-Id: "
                            + id
                            + "\r\nX-Wasabilug-Instance-Id: "
                            + mId,
                    new byte[0]);
            return;
        }
        mRecord.ran(id, mId, request);
        Thread.sleep(mWorkMillis);
        String head =
                "HTTP/1.1 200 OK\r\nX-Wasabilug-Request-Id: "
                        + id
                        + "\r\nX-Wasabilug-Response-Seal: "
                        + Integer.toHexString(id.hashCode());
        if (!mStreams) {
            Http.write(out, head, ("answer of " + mId + " to " + id + "\n").getBytes());
            return;
        }
        out.write(
                (head + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes());
        String last = request.header("Last-Event-Id");
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
                event <= mEvents;
                event++) {
            String text =
                    "id: "
                            + event
                            + "\ndata: "
                            + mVersion
                            + " part "
                            + event
                            + " for "
                            + id
                            + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
            out.flush();
            Thread.sleep(mEventMillis);
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }
}
