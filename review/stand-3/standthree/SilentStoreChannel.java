package standthree;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open channels to the store go silent while new ones work; a server leaves, whose entry the
 * store removes. DRAIN binds drain_ms after the removal, and contact_ms after the silence.
 */
final class SilentStoreChannel {
    private static final int ROUNDS = 5;
    private static final long ROUND_MILLIS = 11_000;
    private static final long REMOVAL_MILLIS = 300;
    private static final long SERVES_ON_MILLIS = 8_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long REQUEST_INTERVAL_MILLIS = 10;
    private static final long WORK_MILLIS = 100;
    private static final int SLOTS = 2;

    /** When the client sent each request, by its id. */
    private static final Map<String, Long> SENT = new ConcurrentHashMap<>();

    private SilentStoreChannel() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0]));
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** A server that may leave, and the moment from which it may get nothing more. */
    private static final class Leaver extends Engine {
        private volatile long mRemovedMillis = Long.MAX_VALUE;
        private volatile long mSilentMillis;
        private final AtomicInteger mLate = new AtomicInteger();
        private volatile long mLastMillis;

        private Leaver(String id, Drill drill) throws IOException {
            super(id, "desk", SLOTS, drill.store(), drill.record());
        }

        @Override
        void answer(Http.Message request, OutputStream out, Socket connection)
                throws IOException, InterruptedException {
            String id = request.header("X-Wasabilug-Request-Id");
            long arrived = now();
            if (mRemovedMillis != Long.MAX_VALUE
                    && arrived > mRemovedMillis + DRAIN_MILLIS
                    && SENT.get(id) > mSilentMillis + CONTACT_MILLIS) {
                mLate.incrementAndGet();
                mLastMillis = arrived;
                record(
                        String.format(
                                Locale.ROOT,
                                "runs %s, %d ms after its entry was removed; sent %d ms after the"
                                        + " silence began",
                                id,
                                arrived - mRemovedMillis,
                                SENT.get(id) - mSilentMillis));
            }
            // Work that lasts spreads the requests over the servers.
            Thread.sleep(WORK_MILLIS);
            super.answer(request, out, connection);
        }
    }

    private static int run(String recordFile) throws Exception {
        try (Drill drill = new Drill(recordFile)) {
            drill.configure(7);
            Link link = drill.with(new Link(drill.store().address()));
            drill.engine("i-pool", "pool", 64);
            drill.engine("i-meters", "meters", 1);
            drill.with(new Leaver("i-desk-stays", drill)).register("ready");
            List<Leaver> leavers = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                Leaver leaver = drill.with(new Leaver("i-desk-" + round, drill));
                leaver.register("ready");
                leavers.add(leaver);
            }
            Gateway gateway = drill.gateway("front-1", link.address());
            if (!gateway.awaitReady()) {
                return Drill.NOT_RUN;
            }
            AtomicBoolean stop = new AtomicBoolean();
            Thread clients = Thread.ofVirtual().start(() -> ask(drill, gateway, stop));
            Thread.sleep(4_000);
            int late = 0;
            for (Leaver leaver : leavers) {
                late += round(drill, link, leaver);
            }
            stop.set(true);
            clients.join();
            drill.record().line("requests that broke DRAIN: " + late);
            return late > 0 ? Drill.BROKEN : Drill.HELD;
        }
    }

    private static int round(Drill drill, Link link, Leaver leaver) throws Exception {
        // Any phase of the polls may meet the silence.
        Thread.sleep((long) (Math.random() * 1_500));
        if (drill.trouble()) {
            drill.record().line(link.silence() + " channels to the store go silent");
        }
        leaver.mSilentMillis = now();
        Thread.sleep(REMOVAL_MILLIS);
        drill.store().remove("servers", leaver.id());
        leaver.mRemovedMillis = now();
        int before = leaver.runs();
        drill.record().line("the store removes the entry of " + leaver.id());
        Thread.sleep(SERVES_ON_MILLIS);
        drill.record()
                .line(leaver.id() + " ends; it got " + (leaver.runs() - before)
                        + " requests after the removal, " + leaver.mLate.get()
                        + " of them against DRAIN");
        leaver.close();
        Thread.sleep(ROUND_MILLIS - REMOVAL_MILLIS - SERVES_ON_MILLIS);
        return leaver.mLate.get();
    }

    private static void ask(Drill drill, Gateway gateway, AtomicBoolean stop) {
        for (int number = 0; !stop.get(); number++) {
            String id = "look-" + number;
            Thread.ofVirtual()
                    .start(
                            () -> {
                                SENT.put(id, now());
                                drill.ask(
                                        gateway, Site.head("GET", "/lookup/1", id, 1_500, ""), 2_000);
                            });
            try {
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }
}
