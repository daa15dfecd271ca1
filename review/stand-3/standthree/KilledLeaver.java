package standthree;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers that leave as planned crash while they finish their last stream, which has no length. No stream may end as complete before its last piece.
 */
final class KilledLeaver {
    private static final int ROUNDS = 20;

    private static final int OTHERS = 11;

    /** Of thirteen servers these leave in each round, one after the other. */
    private static final int LEAVERS = 2;

    private static final long GAP_MILLIS = 1_000;
    private static final int CALLERS = 40;
    private static final long WARM_MILLIS = 3_600;
    private static final long DRAIN_MILLIS = 2_100;

    /** Another stream may have ended just before. */
    private static final long MIN_PAUSE_MILLIS = 150;

    private static final long FIRST_CRASH_MILLIS = 700;
    private static final long LAST_CRASH_MILLIS = 1_500;
    private static final int EVENTS = 220;

    /** Three tokens an event, 6.17 ms each. */
    private static final Duration EVENT_TIME = Duration.ofNanos(18_500_000);

    private static final AtomicInteger COMPLETE = new AtomicInteger();
    private static final AtomicInteger TRUNCATED = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();

    private KilledLeaver() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0]));
    }

    /** A server whose streams have no length. */
    private static final class Server extends Engine {
        private final AtomicInteger mLeft = new AtomicInteger();

        private Server(String id, Drill drill) throws IOException {
            super(id, "pool", 64, drill.store(), drill.record());
            register("ready");
        }

        @Override
        void answer(Http.Message request, OutputStream out, Socket connection)
                throws IOException, InterruptedException {
            mLeft.incrementAndGet();
            try {
                stream(request, out);
            } finally {
                mLeft.decrementAndGet();
            }
            connection.close();
        }

        private void stream(Http.Message request, OutputStream out)
                throws IOException, InterruptedException {
            String last = request.header("Last-Event-Id");
            int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
            Http.write(
                    out,
                    "HTTP/1.1 200 OK\r\n" + echo(request) + seal(request)
                            + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
            for (int event = first; event <= EVENTS; event++) {
                Thread.sleep(EVENT_TIME);
                Http.write(out, "id: " + event + "\ndata: piece " + event + " of " + EVENTS + "\n\n");
            }
        }

        /** Leaves as planned, and crashes with one stream left. */
        private void leave(Drill drill) throws IOException, InterruptedException {
            register("draining");
            Thread.sleep(DRAIN_MILLIS);
            stopListening();
            Thread.sleep(FIRST_CRASH_MILLIS + (long) (Math.random() * 100));
            for (long waited = FIRST_CRASH_MILLIS;
                    waited < LAST_CRASH_MILLIS && mLeft.get() > 1;
                    waited++) {
                Thread.sleep(1);
            }
            Thread.sleep(MIN_PAUSE_MILLIS + (long) (Math.random() * MIN_PAUSE_MILLIS));
            int left = mLeft.get();
            if (drill.trouble() && left > 0) {
                // As with a process that is killed, its connections end and nothing more is written.
                close();
                record("crashes with " + left + " streams left");
            } else {
                while (mLeft.get() > 0) {
                    Thread.sleep(5);
                }
            }
            drill.store().remove("servers", id());
            close();
        }
    }

    private static int run(String recordFile) throws Exception {
        try (Drill drill = new Drill(recordFile)) {
            drill.configure(7);
            drill.engine("i-desk", "desk", 6);
            drill.engine("i-meters", "meters", 1);
            for (int other = 0; other < OTHERS; other++) {
                drill.with(new Server("i-stays-" + other, drill));
            }
            List<Server> next = servers(drill, 0);
            Gateway gateway = drill.gateway("front-1");
            if (!gateway.awaitReady()) {
                return Drill.NOT_RUN;
            }
            Thread.sleep(WARM_MILLIS);
            AtomicBoolean stop = new AtomicBoolean();
            for (int caller = 0; caller < CALLERS; caller++) {
                int number = caller;
                Thread.ofVirtual().start(() -> call(drill, gateway, number, stop));
                Thread.sleep(50);
            }
            for (int round = 1; round <= ROUNDS; round++) {
                List<Server> leaving = next;
                next = servers(drill, round);
                for (Server server : leaving) {
                    Thread.ofVirtual().start(() -> leave(server, drill));
                    Thread.sleep(GAP_MILLIS);
                }
                Thread.sleep(WARM_MILLIS - LEAVERS * GAP_MILLIS + (long) (Math.random() * 500));
            }
            stop.set(true);
            Thread.sleep(DRAIN_MILLIS + LAST_CRASH_MILLIS);
            drill.record()
                    .line("streams that ended as complete: " + COMPLETE.get() + " with all pieces, "
                            + TRUNCATED.get() + " before their last piece; other ends: "
                            + OTHER.get());
            if (TRUNCATED.get() > 0) {
                return Drill.BROKEN;
            }
            return COMPLETE.get() > 0 ? Drill.HELD : Drill.NOT_RUN;
        }
    }

    private static void leave(Server server, Drill drill) {
        try {
            server.leave(drill);
        } catch (IOException | InterruptedException failure) {
            drill.record().line(server.id() + ": " + failure);
        }
    }

    private static List<Server> servers(Drill drill, int round) throws IOException {
        List<Server> servers = new ArrayList<>();
        for (int number = 0; number < LEAVERS; number++) {
            servers.add(drill.with(new Server("i-leaves-" + round + "-" + number, drill)));
        }
        return servers;
    }

    private static void call(Drill drill, Gateway gateway, int caller, AtomicBoolean stop) {
        for (int number = 0; !stop.get(); number++) {
            String id = "stream-" + caller + "-" + number;
            String more =
                    "X-Wasabilug-Model: m\r\nX-Wasabilug-Token-Counts: 100,660\r\n"
                            + "X-Wasabilug-Prefix-Hash: " + Long.toHexString(System.nanoTime())
                            + ":100\r\nX-Wasabilug-Pieces: 0\r\n";
            try (Socket socket = gateway.connect(9_000)) {
                Http.write(socket.getOutputStream(), Site.head("POST", "/chat/1", id, 8_000, more));
                ended(drill, id, Http.read(socket.getInputStream()));
            } catch (EOFException cut) {
                OTHER.incrementAndGet();
            } catch (IOException | InterruptedException failure) {
                drill.record().line(id + ": " + failure.getMessage());
                OTHER.incrementAndGet();
            }
        }
    }

    /** Looks at a complete answer. */
    private static void ended(Drill drill, String id, Http.Message answer)
            throws InterruptedException {
        String body = answer.text();
        int pieces = body.split("id: ", -1).length - 1;
        if (answer.status() != 200) {
            OTHER.incrementAndGet();
            Thread.sleep(300);
        } else if (pieces == EVENTS) {
            COMPLETE.incrementAndGet();
        } else {
            TRUNCATED.incrementAndGet();
            drill.record()
                    .line(id + ": 200, seal " + answer.header("X-Wasabilug-Response-Seal")
                            + ", chunked to its last chunk, with " + pieces + " of "
                            + EVENTS + " pieces");
        }
    }
}
