package standthree;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards connections to an address; those that are open can be made to go silent. */
final class Link implements AutoCloseable {
    private final ServerSocket mSocket = new ServerSocket();
    private final String mTo;
    private final Set<Channel> mChannels = ConcurrentHashMap.newKeySet();

    Link(String to) throws IOException {
        mTo = to;
        mSocket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mSocket.getLocalPort();
    }

    /** Makes the open connections deliver nothing more; new ones work. */
    int silence() {
        int silenced = 0;
        for (Channel channel : mChannels) {
            channel.mSilent = true;
            silenced++;
        }
        mChannels.clear();
        return silenced;
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket caller = mSocket.accept();
                int colon = mTo.indexOf(':');
                Socket callee =
                        new Socket(
                                mTo.substring(0, colon),
                                Integer.parseInt(mTo.substring(colon + 1)));
                Channel channel = new Channel(caller, callee);
                mChannels.add(channel);
                Thread.ofVirtual().start(() -> channel.forward(caller, callee));
                Thread.ofVirtual().start(() -> channel.forward(callee, caller));
            } catch (IOException closed) {
                // The link or its other end is closed.
            }
        }
    }

    /** One connection and its continuation. */
    private final class Channel {
        private final Socket mCaller;
        private final Socket mCallee;
        private volatile boolean mSilent;

        private Channel(Socket caller, Socket callee) throws IOException {
            mCaller = caller;
            mCallee = callee;
            caller.setTcpNoDelay(true);
            callee.setTcpNoDelay(true);
        }

        private void forward(Socket from, Socket to) {
            byte[] bytes = new byte[16_384];
            try {
                InputStream in = from.getInputStream();
                for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                    if (!mSilent) {
                        to.getOutputStream().write(bytes, 0, count);
                    }
                }
            } catch (IOException ended) {
                // One of the two ends has closed it.
            }
            if (!mSilent) {
                close();
            }
        }

        private void close() {
            mChannels.remove(this);
            try {
                mCaller.close();
                mCallee.close();
            } catch (IOException closed) {
                // Nothing to do.
            }
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
        mChannels.forEach(Channel::close);
    }
}
