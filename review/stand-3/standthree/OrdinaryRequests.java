package standthree;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Short requests to a safe route, five a second, and which of them CONFIG counts: those that are
 * unanswered at their route's timeout_ms, and those of them without an answer half a second later.
 * Requests whose connection is refused, as the process has ended, don't count.
 */
final class OrdinaryRequests implements AutoCloseable {
    static final String CONFIGURATION =
            Site.CONFIGURATION.replace("\"timeout_ms\":3000", "\"timeout_ms\":800");

    private static final int TIMEOUT_MILLIS = 800;
    private static final int LATE_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 1_500;
    private static final long INTERVAL_MILLIS = 200;

    private final Gateway mGateway;
    private final Record mRecord;
    private final AtomicBoolean mStop = new AtomicBoolean();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();

    OrdinaryRequests(Gateway gateway, Record record) {
        mGateway = gateway;
        mRecord = record;
    }

    OrdinaryRequests start() {
        Thread.ofVirtual().start(this::sendAll);
        return this;
    }

    private void sendAll() {
        for (int number = 0; !mStop.get(); number++) {
            String id = mGateway.name() + "-look-" + number;
            Thread.ofVirtual().start(() -> send(id));
            try {
                Thread.sleep(INTERVAL_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void send(String id) {
        try (Socket socket = mGateway.connect(TIMEOUT_MILLIS)) {
            String head = Site.head("GET", "/lookup/1", id, DEADLINE_MILLIS, "");
            Http.write(socket.getOutputStream(), head);
            // The first byte tells whether there is an answer.
            int first;
            try {
                first = socket.getInputStream().read();
            } catch (SocketTimeoutException unanswered) {
                mUnanswered.incrementAndGet();
                socket.setSoTimeout(LATE_MILLIS);
                first = socket.getInputStream().read();
            }
            mServed.addAndGet(first == 'H' ? 1 : 0);
        } catch (SocketTimeoutException late) {
            mLate.incrementAndGet();
            mRecord.line(id + ": no answer " + LATE_MILLIS + " ms after timeout_ms");
        } catch (IOException ended) {
            // The process has ended, or closes the connection.
        }
    }

    int answered() {
        return mServed.get();
    }

    int late() {
        return mLate.get();
    }

    /** Returns whether more than half of those unanswered at timeout_ms are so half a second later. */
    boolean broken() {
        return mLate.get() > 0 && 2 * mLate.get() > mUnanswered.get();
    }

    String result() {
        return mGateway.name() + ": ordinary requests answered " + mServed.get()
                + ", unanswered at timeout_ms " + mUnanswered.get()
                + ", of these without an answer half a second later " + mLate.get()
                + "; alive: " + mGateway.alive() + ", " + mGateway.residentMegabytes()
                + " MB resident";
    }

    @Override
    public void close() throws InterruptedException {
        mStop.set(true);
        Thread.sleep(TIMEOUT_MILLIS + LATE_MILLIS + INTERVAL_MILLIS);
    }
}
