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
 * Sound engines write streams in chunks. In some of them the text of an event quotes an HTTP status
 * line. TROUBLE=0 sends the same requests without the quotation.
 */
final class QuotingStreams {
    private static final int CALLERS = 4;
    private static final int REQUESTS = 10;
    private static final int EVENTS = 8;
    private static final int EVENT_MILLIS = 60;
    private static final int DEADLINE_MILLIS = 6_000;

    /** One request in so many quotes. */
    private static final int QUOTING = 5;

    /** The rule counts from the fourth on. */
    private static final int ALLOWED = 3;

    private final Installation mInstallation;
    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final AtomicInteger mKept = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();

    private QuotingStreams(Installation installation) {
        mInstallation = installation;
    }

    public static void main(String[] arguments) {
        int lost = 0;
        try (Installation installation = new Installation(Path.of(arguments[0]))) {
            QuotingStreams play = new QuotingStreams(installation);
            play.run();
            lost = play.mLost.get();
        } catch (Exception failure) {
            failure.printStackTrace();
            System.exit(2);
        }
        System.exit(lost > ALLOWED ? 1 : 0);
    }

    private void run() throws Exception {
        for (int number = 1; number <= 2; number++) {
            RunningEngine engine = mInstallation.startEngine("i-" + number, "zone-rennes", 0);
            mInstallation.register(engine);
        }
        Gateway gateway = mInstallation.startGateway("front-1", "zone-rennes");
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<?>> callers = new ArrayList<>();
            for (int caller = 1; caller <= CALLERS; caller++) {
                int number = caller;
                callers.add(threads.submit(() -> callOnAndOn(gateway, number)));
            }
            for (Future<?> each : callers) {
                each.get(90, TimeUnit.SECONDS);
            }
        }
        mInstallation.recordLog(gateway, "\"attempt-failed\"");
        mInstallation.record(
                (mLost.get() > ALLOWED ? "BROKEN: " : "HELD: ")
                        + mLost
                        + " of "
                        + mKept
                        + " requests on kept channels were cut by the gateway");
    }

    private Void callOnAndOn(Gateway gateway, int number) throws IOException {
        try (Caller caller = new Caller(gateway.port(), mInstallation::record)) {
            for (int request = 1; request <= REQUESTS; request++) {
                boolean quoting = mTrouble && request % QUOTING == 0;
                String target =
                        "/summary/"
                                + EVENTS
                                + "/"
                                + EVENT_MILLIS
                                + (quoting ? "/quoting" : "/plain");
                String id = "stream-" + number + "-" + request;
                Caller.Answer got = caller.call(target, id, DEADLINE_MILLIS);
                boolean lost = got.kept() && !got.complete();
                mKept.addAndGet(got.kept() ? 1 : 0);
                mLost.addAndGet(lost ? 1 : 0);
                mInstallation.record(
                        "request " + id + " " + target + ": " + got + (lost ? "  LOST" : ""));
            }
        }
        return null;
    }
}
