package standthree;

import java.util.Arrays;

/** Another writer leaves an entry among those of the servers whose id ends with a line end. */
final class OddId {
    private static final String ENTRY =
            """
            {"service":"desk","address":"127.0.0.1:9","zone":"caxias-a","version":"v1","slots":6,
             "state":"%s","cold_left_ms":0,"seq_no":1,"born":%d}
            """;
    private static final String PROMPT =
            "X-Wasabilug-Model: m\r\nX-Wasabilug-Token-Counts: 100,10\r\n"
                    + "X-Wasabilug-Prefix-Hash: %1$x:60,%1$x1:40\r\n"
                    + "X-Wasabilug-Pieces: 1\r\nX-Wasabilug-Piece-Key: 7c1e07a291bd\r\n";
    private static final int SETTLE_MILLIS = 4_000;
    private static final int ROUNDS = 12;

    private OddId() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0]));
    }

    private static int run(String recordFile) throws Exception {
        try (Drill drill = new Drill(recordFile)) {
            drill.configure(7);
            drill.engine("i-pool-1", "pool", 64);
            drill.engine("i-pool-2", "pool", 64);
            drill.engine("i-desk-1", "desk", 6);
            drill.engine("i-desk-2", "desk", 6);
            drill.engine("i-meters", "meters", 1);
            Gateway gateway = drill.gateway("front-1");
            if (!gateway.awaitReady()) {
                return Drill.NOT_RUN;
            }
            Thread.sleep(SETTLE_MILLIS);
            if (starved(askAll(drill, gateway, "before", 3))) {
                return Drill.NOT_RUN;
            }
            addEntry(drill);
            Thread.sleep(SETTLE_MILLIS);
            int[] served = askAll(drill, gateway, "afterwards", ROUNDS);
            return starved(served) ? Drill.BROKEN : Drill.HELD;
        }
    }

    /** Without the disruption the entry is odd in a way that does no harm: it names no state. */
    private static void addEntry(Drill drill) {
        String id = "i-new" + (drill.trouble() ? "\n" : "");
        String state = drill.trouble() ? "ready" : "new";
        drill.store().put("servers", id, ENTRY.formatted(state, System.currentTimeMillis()));
        drill.record()
                .line("another writer adds the entry '" + id.replace("\n", "\\n") + "' in state "
                        + state);
    }

    /** Returns whether a kind of request is served less than a quarter as often as all. */
    private static boolean starved(int[] served) {
        double all = Arrays.stream(served).average().orElse(0);
        return all == 0 || Arrays.stream(served).anyMatch(each -> each < all / 4);
    }

    /** Sends requests of each kind; returns how many of each are served. */
    private static int[] askAll(Drill drill, Gateway gateway, String when, int rounds) {
        int lookups = 0;
        int entries = 0;
        int streams = 0;
        for (int round = 0; round < rounds; round++) {
            lookups += ask(drill, gateway, "GET", "/lookup/1", "");
            entries += ask(drill, gateway, "POST", "/entry/1", "");
            streams += ask(drill, gateway, "POST", "/chat/1", PROMPT.formatted(System.nanoTime()));
        }
        drill.record()
                .line(when + ", of " + rounds + " each, served: lookups " + lookups + ", entries "
                        + entries + ", streams " + streams + "; ready: " + gateway.ready(1_000));
        return new int[] {lookups, entries, streams};
    }

    private static int ask(
            Drill drill, Gateway gateway, String method, String target, String more) {
        String id = "ask-" + System.nanoTime();
        long start = System.nanoTime();
        int status = drill.ask(gateway, Site.head(method, target, id, 1_000, more), 2_000);
        drill.record()
                .line(method + " " + target + " " + id + ": status " + status + " after "
                        + (System.nanoTime() - start) / 1_000_000 + " ms");
        return status == 200 ? 1 : 0;
    }
}
