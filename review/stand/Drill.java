import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The store comes back from a copy some seconds old; once it has been stable for contact_ms, an
 * engine reports that it drains.
 */
final class Drill {
    private static final long COPY_AGE_MILLIS = 10_000;
    private static final long AWAY_MILLIS = 500;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long SERVES_ON_MILLIS = 8_000;

    public static void main(String[] arguments) {
        Play.run(arguments[0], Drill::play);
    }

    private static int play(Site site, boolean trouble) throws Exception {
        site.configure(7);
        // As many engines as the sheet of the smaller deployment has: their heartbeats are what
        // the counter of the store counts.
        for (int number = 1; number <= 3; number++) {
            site.engine(
                    "i-livre" + number,
                    "livre",
                    number % 2 == 0 ? "zone-brest" : "zone-rennes",
                    false);
        }
        for (int number = 1; number <= 8; number++) {
            site.engine(
                    "i-flotte" + number,
                    "flotte",
                    number % 2 == 0 ? "zone-brest" : "zone-rennes",
                    true);
        }
        for (String service : List.of("portail", "export", "alerte")) {
            for (int number = 1; number <= (service.equals("portail") ? 3 : 4); number++) {
                site.engine("i-" + service + number, service, "zone-rennes", false);
            }
        }
        site.engines.forEach(engine -> engine.workMillis(86));
        site.start(2);
        Engine leaving;
        Map<String, Long> sentMillis = new ConcurrentHashMap<>();
        long confirmed;
        try (ExecutorService consumers = Executors.newVirtualThreadPerTaskExecutor()) {
            Traffic traffic = new Traffic(site, consumers, sentMillis);
            Thread sender = Thread.startVirtualThread(traffic);
            Thread.sleep(2_000);
            Store.Copy copy = site.store.copy();
            site.journal.say("store    copy taken at version " + copy.version());
            Thread.sleep(COPY_AGE_MILLIS);
            if (trouble) {
                site.journal.say("store    away at version " + site.store.version());
                site.store.goAway();
                Thread.sleep(AWAY_MILLIS);
                site.store.comeBack(copy);
                site.journal.say(
                        "store    back from the copy, version "
                                + site.store.version()
                                + ", era "
                                + site.store.era());
                // What the operator and the engines wrote is written again.
                site.configure(7);
                for (Engine engine : site.engines) {
                    engine.register();
                }
                site.journal.say("store    written again, version " + site.store.version());
            }
            Thread.sleep(CONTACT_MILLIS + 300);
            leaving = busiest(site);
            long version = leaving.drain();
            confirmed = site.journal.millis();
            site.journal.say(
                    "drain    " + leaving.id() + " is draining, confirmed with version " + version);
            Thread.sleep(SERVES_ON_MILLIS);
            traffic.stop();
            sender.join();
        }
        long late = 0;
        for (Journal.Run run : site.journal.allRuns()) {
            Long sent = sentMillis.get(run.request());
            if (run.engine().equals(leaving.id())
                    && sent != null
                    && sent > confirmed + DRAIN_MILLIS) {
                site.journal.say(
                        "late     "
                                + run.request()
                                + " sent "
                                + (sent - confirmed)
                                + " ms and run "
                                + (run.millis() - confirmed)
                                + " ms after the confirmation, at "
                                + run.engine());
                late++;
            }
        }
        site.journal.say(
                "result   "
                        + late
                        + " requests reached the draining engine later than drain_ms; "
                        + (late > 0 ? "rule broken" : "rule held"));
        System.out.println(late + " late requests");
        return late > 0 ? 1 : 0;
    }

    /** Returns the engine that has run most requests of the last two seconds. */
    private static Engine busiest(Site site) {
        long since = site.journal.millis() - 2_000;
        Map<String, Long> runs = new ConcurrentHashMap<>();
        site.journal.allRuns().stream()
                .filter(run -> run.millis() > since)
                .forEach(run -> runs.merge(run.engine(), 1L, Long::sum));
        return site.engines.stream()
                .max(Comparator.comparingLong(engine -> runs.getOrDefault(engine.id(), 0L)))
                .orElseThrow();
    }

    /** Safe requests to both instances, 70 a second each. */
    private record Traffic(
            Site site, ExecutorService consumers, Map<String, Long> sentMillis, boolean[] stopped)
            implements Runnable {
        Traffic(Site site, ExecutorService consumers, Map<String, Long> sentMillis) {
            this(site, consumers, sentMillis, new boolean[1]);
        }

        void stop() {
            stopped[0] = true;
        }

        @Override
        public void run() {
            while (!stopped[0]) {
                for (Gateway gateway : site.gateways) {
                    consumers.submit(
                            () -> {
                                String id = site.nextId();
                                sentMillis.put(id, site.journal.millis());
                                site.send(gateway, Site.lookup(id), id, new byte[0], 3_000);
                            });
                }
                try {
                    Thread.sleep(14);
                } catch (InterruptedException ended) {
                    return;
                }
            }
        }
    }
}
