package standtwo;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;

/**
 * A link to one engine that loses packets. A lost packet, also the one that ends a channel, arrives
 * when TCP sends it again, and holds up what follows it on its channel.
 */
final class Link implements AutoCloseable {
    /** Shortest time after which TCP sends a lost packet again. */
    private static final long RETRANSMISSION_MILLIS = 200;

    private static final int PACKET_BYTES = 1_400;

    private final ServerSocket mServer = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final int mEnginePort;
    private volatile double mLoss;
    private final Random mRandom;

    /**
     * Opens a link that loses nothing yet.
     *
     * @param enginePort port of the engine
     */
    Link(int enginePort, long seed) throws IOException {
        mEnginePort = enginePort;
        mRandom = new Random(seed);
        Thread.ofVirtual().start(this::accept);
    }

    /** Sets the share of the packets that are lost from now on. */
    void setLoss(double loss) {
        mLoss = loss;
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket caller = mServer.accept();
                Thread.ofVirtual().start(() -> connect(caller));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void connect(Socket caller) {
        try {
            Socket engine = new Socket(InetAddress.getLoopbackAddress(), mEnginePort);
            caller.setTcpNoDelay(true);
            engine.setTcpNoDelay(true);
            Thread.ofVirtual().start(() -> forward(caller, engine));
            forward(engine, caller);
        } catch (IOException refused) {
            reset(caller);
        }
    }

    /** Forwards bytes, and the end of the channel as it came: properly or as a reset. */
    private void forward(Socket from, Socket to) {
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            byte[] packet = new byte[PACKET_BYTES];
            for (int length = input.read(packet); length >= 0; length = input.read(packet)) {
                transmit();
                output.write(packet, 0, length);
            }
            transmit();
            to.shutdownOutput();
        } catch (IOException broken) {
            reset(from);
            reset(to);
        }
    }

    /** Waits for the next transmission of a packet that is lost. */
    private void transmit() {
        if (lost()) {
            Installation.pause(RETRANSMISSION_MILLIS);
        }
    }

    private synchronized boolean lost() {
        return mRandom.nextDouble() < mLoss;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // It has ended already.
        }
    }

    /** Accepts no more channels, as the engine listens no more; open ones go on. */
    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
