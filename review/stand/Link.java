import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The link of one instance to one engine. While it is cut, it still accepts connections. */
final class Link implements AutoCloseable {
    /** What becomes of the connections. */
    enum State {
        OPEN,
        /** Nothing is delivered, on connections from before and on new ones. */
        HANGING,
        /** Connections from before are reset, new ones as soon as they are accepted. */
        RESETTING
    }

    private final ServerSocket mServer;
    private final int mTarget;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private volatile State mState = State.OPEN;

    Link(int target) throws Exception {
        mTarget = target;
        mServer = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Thread.startVirtualThread(this::accept);
    }

    int port() {
        return mServer.getLocalPort();
    }

    void state(State state) {
        mState = state;
        if (state == State.RESETTING) {
            mOpen.forEach(Link::reset);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (Exception ignored) {
            // It is closed already.
        }
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket from = mServer.accept();
                if (mState == State.RESETTING) {
                    reset(from);
                    continue;
                }
                mOpen.add(from);
                Socket to = new Socket();
                to.connect(new InetSocketAddress("127.0.0.1", mTarget), 1_000);
                mOpen.add(to);
                from.setTcpNoDelay(true);
                to.setTcpNoDelay(true);
                Thread.startVirtualThread(() -> forward(from, to));
                Thread.startVirtualThread(() -> forward(to, from));
            } catch (Exception closed) {
                if (mServer.isClosed()) {
                    return;
                }
            }
        }
    }

    private void forward(Socket from, Socket to) {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[16_384];
            int length;
            while ((length = in.read(buffer)) > 0) {
                while (mState == State.HANGING) {
                    Thread.sleep(5);
                }
                out.write(buffer, 0, length);
                out.flush();
            }
            while (mState == State.HANGING) {
                Thread.sleep(5);
            }
        } catch (Exception closed) {
            // One of the ends is gone.
        } finally {
            mOpen.remove(from);
            mOpen.remove(to);
        }
    }

    @Override
    public void close() throws Exception {
        mServer.close();
        for (Socket each : mOpen) {
            each.close();
        }
    }
}
