package standthree;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The servers of a service are replaced one after the other. Each reports that it drains, serves on
 * for drain_ms and a little longer, takes no new channels then, finishes what it runs and exits.
 * Its streams have no length. No request that it ran to its end may go without its answer.
 */
final class ShortLast {
    private static final int SERVERS = 13;
    private static final int REPLACED = 6;
    private static final int RELEASES = 2;
    private static final int CALLERS = 250;
    private static final int ALLOWED = 3;
    private static final long WARM_MILLIS = 5_000;
    private static final long GAP_MILLIS = 1_000;
    private static final long SERVES_MILLIS = 2_100;
    private static final long BETWEEN_MILLIS = 6_000;
    private static final int MIN_EVENTS = 15;
    private static final int MAX_EVENTS = 24;
    private static final long EVENT_MILLIS = 100;
    private static final String CONFIGURATION =
            Site.CONFIGURATION.replace(
                    "{\"name\":\"chat\"",
                    """
                    {"name":"summary","host":"desk.example","prefix":"/summary/","kind":"streaming",
                     "timeout_ms":6000,"goal_ms":2400,"priority":1,"service":"pool",
                     "max_attempts":1,"public":false,"sticky":true,"resumable":false,
                     "gap_aim_ms":400},
                     {"name":"chat\"""");

    /** Requests whose streams a server wrote to their end. */
    private static final Set<String> FINISHED = ConcurrentHashMap.newKeySet();

    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();

    private ShortLast() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0]));
    }

    /** A server that finishes what it runs before it exits. */
    private static final class Server extends Engine {
        private final AtomicInteger mRunning = new AtomicInteger();

        private Server(String id, Drill drill) throws IOException {
            super(id, "pool", 64, drill.store(), drill.record());
            register("ready");
        }

        @Override
        void answer(Http.Message request, OutputStream out, Socket connection)
                throws IOException, InterruptedException {
            mRunning.incrementAndGet();
            try {
                stream(request, out);
            } finally {
                mRunning.decrementAndGet();
            }
            connection.close();
        }

        private void stream(Http.Message request, OutputStream out)
                throws IOException, InterruptedException {
            String id = request.header("X-Wasabilug-Request-Id");
            int events = MIN_EVENTS + Math.floorMod(id.hashCode(), MAX_EVENTS - MIN_EVENTS + 1);
            Http.write(
                    out,
                    "HTTP/1.1 200 OK\r\n" + echo(request) + seal(request)
                            + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
            for (int event = 1; event <= events; event++) {
                Thread.sleep(EVENT_MILLIS);
                String last = event == events ? ", the last" : "";
                Http.write(out, "id: " + event + "\ndata: piece " + event + last + "\n\n");
            }
            FINISHED.add(id);
        }

        /** Leaves as planned. */
        private void leave(Drill drill) throws IOException, InterruptedException {
            register("draining");
            Thread.sleep(SERVES_MILLIS);
            int running = mRunning.get();
            stopListening();
            long start = System.nanoTime();
            while (mRunning.get() > 0) {
                Thread.sleep(1);
            }
            close();
            drill.store().remove("servers", id());
            record(
                    "took no new channels with " + running + " streams to finish, and exited "
                            + (System.nanoTime() - start) / 1_000_000 + " ms later");
        }
    }

    private static int run(String recordFile) throws Exception {
        try (Drill drill = new Drill(recordFile)) {
            drill.store().put("op", "config", CONFIGURATION.formatted(7));
            drill.engine("i-desk", "desk", 6);
            drill.engine("i-meters", "meters", 1);
            List<Server> servers = new ArrayList<>();
            for (int number = 0; number < SERVERS; number++) {
                servers.add(drill.with(new Server("i-pool-" + number, drill)));
            }
            Gateway gateway = drill.gateway("front-1");
            if (!gateway.awaitReady()) {
                return Drill.NOT_RUN;
            }
            Thread.sleep(WARM_MILLIS);
            AtomicBoolean stop = new AtomicBoolean();
            for (int caller = 0; caller < CALLERS; caller++) {
                int number = caller;
                Thread.ofVirtual().start(() -> call(drill, gateway, number, stop));
            }
            Thread.sleep(WARM_MILLIS);
            for (int release = 0; release < RELEASES; release++) {
                if (drill.trouble()) {
                    release(drill, servers, release);
                }
                Thread.sleep(BETWEEN_MILLIS);
            }
            stop.set(true);
            Thread.sleep(BETWEEN_MILLIS);
            drill.record()
                    .line("whole streams: " + WHOLE.get() + ", cut though the server had written"
                            + " all of them, on kept channels: " + LOST.get() + " (" + ALLOWED
                            + " are allowed), other ends: " + OTHER.get());
            if (LOST.get() > ALLOWED) {
                return Drill.BROKEN;
            }
            return WHOLE.get() > 0 ? Drill.HELD : Drill.NOT_RUN;
        }
    }

    private static void release(Drill drill, List<Server> servers, int release)
            throws IOException, InterruptedException {
        for (int number = 0; number < REPLACED; number++) {
            Server old = servers.removeFirst();
            servers.add(drill.with(new Server("i-new-" + release + "-" + number, drill)));
            Thread.ofVirtual()
                    .start(
                            () -> {
                                try {
                                    old.leave(drill);
                                } catch (IOException | InterruptedException failure) {
                                    drill.record().line("not replaced: " + failure);
                                }
                            });
            Thread.sleep(GAP_MILLIS);
        }
    }

    private static void call(Drill drill, Gateway gateway, int caller, AtomicBoolean stop) {
        int number = 0;
        while (!stop.get()) {
            try (Socket socket = gateway.connect(9_000)) {
                boolean kept = false;
                while (!stop.get()) {
                    String id = "summary-" + caller + "-" + number++;
                    boolean answered = ask(drill, socket, id, kept);
                    kept = true;
                    if (!answered) {
                        break;
                    }
                }
            } catch (IOException | InterruptedException failure) {
                OTHER.incrementAndGet();
            }
        }
    }

    private static boolean ask(Drill drill, Socket socket, String id, boolean kept)
            throws IOException, InterruptedException {
        String more =
                "X-Wasabilug-Model: m\r\nX-Wasabilug-Token-Counts: 100,60\r\n"
                        + "X-Wasabilug-Prefix-Hash: " + Long.toHexString(System.nanoTime())
                        + ":100\r\n";
        Http.write(socket.getOutputStream(), Site.head("POST", "/summary/1", id, 6_000, more));
        try {
            Http.Message answer = Http.read(socket.getInputStream());
            boolean whole = answer.status() == 200 && answer.text().contains(", the last\n\n");
            (whole ? WHOLE : OTHER).incrementAndGet();
            if (answer.status() == 503) {
                Thread.sleep((long) (1_000 * Double.parseDouble(answer.header("Retry-After"))));
            }
            return !answer.header("Connection").equalsIgnoreCase("close");
        } catch (IOException cut) {
            boolean lost = kept && FINISHED.contains(id);
            (lost ? LOST : OTHER).incrementAndGet();
            drill.record()
                    .line(id + ": its channel, " + (kept ? "kept" : "new") + ", ends without the"
                            + " rest of the answer; the server had written all of it: "
                            + FINISHED.contains(id));
            return false;
        }
    }
}
