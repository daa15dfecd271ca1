package standthree;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model server, of whose streams a few have no length, is killed while its link loses packets. No
 * stream may end as complete before its last piece.
 */
final class KilledEngine {
    private static final int ROUNDS = 10;

    /** Of six servers one is killed at a time: a share of 0.17. */
    private static final int OTHERS = 5;

    private static final int CALLERS = 300;
    private static final double LOSS = 0.025;
    private static final long WARM_MILLIS = 5_500;
    private static final long AFTER_MILLIS = 2_500;
    private static final String ENTRY =
            """
            {"service":"pool","address":"%s","zone":"caxias-a","version":"v1","slots":64,
             "state":"ready","cold_left_ms":0,"seq_no":1,"born":%d}
            """;

    private static final AtomicInteger COMPLETE = new AtomicInteger();
    private static final AtomicInteger TRUNCATED = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();

    private KilledEngine() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0]));
    }

    /** A server in a process of its own, behind a link. */
    private static final class Victim implements AutoCloseable {
        private final String mId;
        private final Drill mDrill;
        private final Process mProcess;
        private final LossyLink mLink;

        private Victim(String id, Drill drill, double loss) throws IOException {
            mId = id;
            mDrill = drill;
            String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
            mProcess =
                    new ProcessBuilder(
                                    java,
                                    "-Xmx48m",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "standthree.StreamEngine",
                                    id)
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start();
            Runtime.getRuntime().addShutdownHook(new Thread(mProcess::destroyForcibly));
            String address =
                    new BufferedReader(new InputStreamReader(mProcess.getInputStream())).readLine();
            mLink = new LossyLink(address, loss);
            drill.store()
                    .put("servers", id, ENTRY.formatted(mLink.address(), System.currentTimeMillis()));
        }

        private void kill() throws IOException, InterruptedException {
            mDrill.record().line("SIGKILL to " + mId + " with " + mLink.open() + " streams");
            // The port of a process that ends is closed with its connections, also behind the link.
            mLink.close();
            mProcess.destroyForcibly().waitFor();
        }

        private void expire() {
            mDrill.store().remove("servers", mId);
            mDrill.record().line(mId + ": " + mLink.lost() + " ends arrived late, as a packet was lost");
        }

        @Override
        public void close() throws IOException {
            mProcess.destroyForcibly();
            mLink.close();
        }
    }

    private static int run(String recordFile) throws Exception {
        try (Drill drill = new Drill(recordFile)) {
            drill.configure(7);
            drill.engine("i-desk", "desk", 6);
            drill.engine("i-meters", "meters", 1);
            for (int other = 0; other < OTHERS; other++) {
                drill.with(new Victim("i-pool-stays-" + other, drill, 0));
            }
            double loss = drill.trouble() && !"0".equals(System.getenv("LOSS")) ? LOSS : 0;
            Victim next = drill.with(new Victim("i-pool-0", drill, loss));
            Gateway gateway = drill.gateway("front-1");
            if (!gateway.awaitReady()) {
                return Drill.NOT_RUN;
            }
            AtomicBoolean stop = new AtomicBoolean();
            for (int caller = 0; caller < CALLERS; caller++) {
                int number = caller;
                Thread.ofVirtual().start(() -> call(drill, gateway, number, stop));
            }
            for (int round = 1; round <= ROUNDS; round++) {
                Thread.sleep(WARM_MILLIS);
                Victim victim = next;
                if (drill.trouble()) {
                    victim.kill();
                }
                Thread.sleep(AFTER_MILLIS);
                victim.expire();
                victim.close();
                next = drill.with(new Victim("i-pool-" + round, drill, loss));
            }
            stop.set(true);
            Thread.sleep(AFTER_MILLIS);
            drill.record()
                    .line("streams that ended as complete: " + COMPLETE.get() + ", with all pieces; "
                            + TRUNCATED.get() + " before their last piece; other ends: "
                            + OTHER.get());
            if (TRUNCATED.get() > 0) {
                return Drill.BROKEN;
            }
            return COMPLETE.get() > 0 ? Drill.HELD : Drill.NOT_RUN;
        }
    }

    private static void call(Drill drill, Gateway gateway, int caller, AtomicBoolean stop) {
        for (int number = 0; !stop.get(); number++) {
            String id = "stream-" + caller + "-" + number;
            String more =
                    "X-Wasabilug-Model: m\r\nX-Wasabilug-Token-Counts: 100,90\r\n"
                            + "X-Wasabilug-Prefix-Hash: " + Long.toHexString(System.nanoTime())
                            + ":100\r\nX-Wasabilug-Pieces: 0\r\n";
            try (Socket socket = gateway.connect(9_000)) {
                Http.write(socket.getOutputStream(), Site.head("POST", "/chat/1", id, 8_000, more));
                ended(drill, id, Http.read(socket.getInputStream()));
            } catch (EOFException cut) {
                drill.record().line(id + ": the connection ends within the answer");
                OTHER.incrementAndGet();
            } catch (IOException failure) {
                drill.record().line(id + ": " + failure.getMessage());
                OTHER.incrementAndGet();
            }
        }
    }

    /** Looks at a complete answer. */
    private static void ended(Drill drill, String id, Http.Message answer) {
        Map<String, String> headers = answer.headers();
        String body = answer.text();
        int pieces = body.split("id: ", -1).length - 1;
        if (answer.status() != 200) {
            OTHER.incrementAndGet();
            try {
                Thread.sleep(300);
            } catch (InterruptedException interrupted) {
                return;
            }
        } else if (pieces == StreamEngine.EVENTS
                && body.contains("id: " + StreamEngine.EVENTS + "\n")) {
            COMPLETE.incrementAndGet();
        } else {
            TRUNCATED.incrementAndGet();
            drill.record()
                    .line(id + ": 200, seal " + headers.get("x-wasabilug-response-seal")
                            + ", chunked to its last chunk, with " + pieces + " of "
                            + StreamEngine.EVENTS + " pieces");
        }
    }
}
