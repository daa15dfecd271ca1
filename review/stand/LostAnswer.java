import java.util.concurrent.atomic.AtomicReference;

/**
 * The answer that brings an instance a new desired state is lost; the instance is judged once the
 * store has been without disruption for contact_ms.
 */
final class LostAnswer {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long CONFIG_MILLIS = 2_000;
    private static final long WATCHED_MILLIS = 8_000;
    private static final int CHANGES = 3;

    public static void main(String[] arguments) {
        Play.run(arguments[0], LostAnswer::play);
    }

    private static int play(Site site, boolean trouble) throws Exception {
        site.configure(7);
        for (int number = 1; number <= 3; number++) {
            site.engine(
                    "i-livre" + number,
                    "livre",
                    number % 2 == 0 ? "zone-brest" : "zone-rennes",
                    false);
        }
        site.engine("i-flotte1", "flotte", "zone-rennes", true);
        site.start(2);
        Thread.sleep(3_000);
        int broken = 0;
        String held = Site.KEY;
        for (int change = 1; change <= CHANGES; change++) {
            String next = held.equals(Site.KEY) ? Site.OTHER_KEY : Site.KEY;
            broken += swapKeys(site, trouble, 7 + change, held, next);
            held = next;
            // The next change comes in steady state.
            Thread.sleep(6_000);
        }
        site.journal.say(
                "result   "
                        + broken
                        + " requests handled as only an older version allows; "
                        + (broken > 0 ? "rule broken" : "rule held"));
        System.out.println(broken + " requests handled as only an older version allows");
        return broken > 0 ? 1 : 0;
    }

    /** A version that takes the tenant's key away and gives it another one. */
    private static int swapKeys(Site site, boolean trouble, int version, String old, String next)
            throws Exception {
        Gateway gateway = site.gateways.getFirst();
        AtomicReference<Long> lost = new AtomicReference<>();
        if (trouble) {
            site.store.faults(
                    (instance, target, rows) -> {
                        boolean brings =
                                instance.equals(gateway.name())
                                        && target.contains("table=op")
                                        && rows.stream().anyMatch(row -> row.key().equals("config"))
                                        && lost.compareAndSet(null, site.journal.millis());
                        if (brings) {
                            site.journal.say("store    answer to " + instance + " lost: " + target);
                        }
                        return brings;
                    });
        }
        while (site.store.sinceLastFeed(gateway.name(), "op") > 300) {
            Thread.sleep(10);
        }
        site.store.put("op", "config", Site.configuration(version, "", Site.keys(next)));
        long confirmed = site.journal.millis();
        site.journal.say(
                "config   version " + version + " confirmed, holds " + next + " instead of " + old);
        int broken = 0;
        while (site.journal.millis() < confirmed + WATCHED_MILLIS) {
            broken += ask(site, gateway, old, 401, confirmed, lost.get());
            broken += ask(site, gateway, next, 200, confirmed, lost.get());
            Thread.sleep(100);
        }
        return broken;
    }

    private static int ask(
            Site site, Gateway gateway, String key, int expected, long confirmed, Long lost) {
        String id = site.nextId();
        long sent = site.journal.millis();
        String head = Site.head("GET", "pule25.example", "/wuhu344/2f", id, key, 1_500);
        int status = site.send(gateway, head, id, new byte[0], 3_000);
        boolean inTouch = lost == null || sent > lost + CONTACT_MILLIS;
        if (sent <= confirmed + CONFIG_MILLIS || !inTouch || status == expected) {
            return 0;
        }
        boolean ran = !site.journal.runs(id).isEmpty();
        boolean older = expected == 401 ? ran : status == 401;
        if (older) {
            site.journal.say(
                    "older    "
                            + id
                            + " sent "
                            + (sent - confirmed)
                            + " ms after the confirmation"
                            + (lost == null
                                    ? ""
                                    : " and " + (sent - lost) + " ms after the lost answer")
                            + (expected == 401
                                    ? ": run with the dropped key"
                                    : ": refused with 401, the key is there"));
        }
        return older ? 1 : 0;
    }
}
