package standtwo;

import standtwo.Installation.Gateway;
import standtwo.Installation.RunningEngine;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The eight engines of a service are replaced one after the other: the new one starts, the old one
 * reports that it drains, serves on, and exits once it has answered what it runs. TROUBLE=0 has no
 * replacements.
 */
final class ReleasedEngines {
    private static final int CALLERS = 24;
    private static final int EVENTS = 30;
    private static final int EVENT_MILLIS = 180;
    private static final int DEADLINE_MILLIS = 6_000;
    private static final int STAGGER_MILLIS = 230;
    private static final int ENGINES = 8;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int EXIT_MARGIN_MILLIS = 100;

    /** The rule counts from the fourth on. */
    private static final int ALLOWED = 3;

    private final Installation mInstallation;
    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private volatile boolean mEnded;

    private ReleasedEngines(Installation installation) {
        mInstallation = installation;
    }

    public static void main(String[] arguments) {
        int broken = 0;
        try (Installation installation = new Installation(Path.of(arguments[0]))) {
            ReleasedEngines play = new ReleasedEngines(installation);
            play.run();
            broken = play.mLost.get();
        } catch (Exception failure) {
            failure.printStackTrace();
            System.exit(2);
        }
        System.exit(broken > ALLOWED ? 1 : 0);
    }

    private void run() throws Exception {
        List<RunningEngine> engines = new ArrayList<>();
        for (int number = 1; number <= ENGINES; number++) {
            RunningEngine engine = mInstallation.startEngine("i-" + number, "zone-rennes", 0);
            mInstallation.register(engine);
            engines.add(engine);
        }
        Gateway gateway = mInstallation.startGateway("front-1", "zone-rennes");
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<?>> callers = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                int number = caller;
                callers.add(threads.submit(() -> callOnAndOn(gateway, number)));
            }
            Installation.pause(CALLERS * STAGGER_MILLIS);
            for (RunningEngine engine : engines) {
                if (mTrouble) {
                    replace(engine);
                } else {
                    Installation.pause(DRAIN_MILLIS + EVENTS * EVENT_MILLIS / 2);
                }
            }
            mEnded = true;
            for (Future<?> each : callers) {
                each.get(30, TimeUnit.SECONDS);
            }
        }
        mInstallation.recordLog(gateway, "\"whole\":false");
        mInstallation.record(
                (mLost.get() > ALLOWED ? "BROKEN: " : "HELD: ")
                        + mLost
                        + " of "
                        + mRequests
                        + " requests on kept channels were cut although their engine had answered"
                        + " them whole");
    }

    private void replace(RunningEngine old) throws Exception {
        RunningEngine next = mInstallation.startEngine(old.id() + "-next", "zone-rennes", 0);
        mInstallation.register(next);
        Installation.pause(500);
        mInstallation.drain(old);
        Installation.pause(DRAIN_MILLIS + EXIT_MARGIN_MILLIS);
        mInstallation.signal(old.process(), "TERM", "engine " + old.id());
        old.process().waitFor(10, TimeUnit.SECONDS);
        mInstallation.leave(old);
    }

    private Void callOnAndOn(Gateway gateway, int number) throws IOException {
        Installation.pause((long) STAGGER_MILLIS * number);
        try (Caller caller = new Caller(gateway.port(), mInstallation::record)) {
            boolean cut = false;
            for (int request = 1; !mEnded; request++) {
                // A short request first on a new channel, so that the next one finds it kept.
                String target = cut || request == 1 ? "/summary/1/1" : target();
                String id = "stream-" + number + "-" + request;
                Caller.Answer got = caller.call(target, id, DEADLINE_MILLIS);
                cut = !got.complete();
                record(id, got);
            }
        }
        return null;
    }

    private static String target() {
        return "/summary/" + EVENTS + "/" + EVENT_MILLIS;
    }

    /** Counts a request whose whole answer its engine has written. */
    private void record(String id, Caller.Answer got) {
        boolean lost = got.kept() && !got.complete();
        mRequests.addAndGet(got.kept() ? 1 : 0);
        mLost.addAndGet(lost ? 1 : 0);
        mInstallation.record("request " + id + ": " + got + (lost ? "  LOST" : ""));
    }
}
