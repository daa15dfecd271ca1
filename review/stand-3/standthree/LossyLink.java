package standthree;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Forwards connections to a server. Of the packets that end a connection a share is lost; such a
 * packet is sent again after the retransmission timeout, so that the end arrives late.
 */
final class LossyLink implements AutoCloseable {
    /** Smallest retransmission timeout of TCP on Linux. */
    private static final long RETRANSMISSION_MILLIS = 200;

    private final ServerSocket mSocket = new ServerSocket();
    private final String mTo;
    private final double mLoss;
    private final AtomicInteger mOpen = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();

    LossyLink(String to, double loss) throws IOException {
        mTo = to;
        mLoss = loss;
        mSocket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mSocket.getLocalPort();
    }

    int open() {
        return mOpen.get();
    }

    int lost() {
        return mLost.get();
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket caller = mSocket.accept();
                Thread.ofVirtual().start(() -> join(caller));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void join(Socket caller) {
        int colon = mTo.indexOf(':');
        int port = Integer.parseInt(mTo.substring(colon + 1));
        try (caller;
                Socket callee = new Socket(mTo.substring(0, colon), port)) {
            caller.setTcpNoDelay(true);
            callee.setTcpNoDelay(true);
            mOpen.incrementAndGet();
            Thread requests = Thread.ofVirtual().start(() -> forwardRequests(caller, callee));
            forward(callee, caller);
            mOpen.decrementAndGet();
            if (Math.random() < mLoss) {
                mLost.incrementAndGet();
                Thread.sleep(RETRANSMISSION_MILLIS);
            }
            caller.close();
            requests.join();
        } catch (IOException | InterruptedException ended) {
            // The server does not listen, or one end has closed the connection.
        }
    }

    private static void forwardRequests(Socket caller, Socket callee) {
        try {
            forward(caller, callee);
            // The caller gives up the request.
            callee.close();
        } catch (IOException ended) {
            // Nothing to do.
        }
    }

    private static void forward(Socket from, Socket to) throws IOException {
        byte[] bytes = new byte[16_384];
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        try {
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                out.write(bytes, 0, count);
            }
        } catch (IOException ended) {
            // Ends the other direction as well.
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
