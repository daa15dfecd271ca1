package standtwo;

import standtwo.Installation.Gateway;
import standtwo.Installation.RunningEngine;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Engines of two software versions serve side by side. All gateways are killed and start again, and
 * consumers take their streams up once the gateways have run for longer than contact_ms. TROUBLE=0
 * kills no gateway; the consumers' channels break all the same.
 */
final class TakenUpStreams {
    private static final int GATEWAYS = 2;
    private static final int STREAMS = 24;
    private static final int EVENTS = 60;
    private static final int EVENT_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 15_000;
    private static final String TARGET = "/chat/" + EVENTS + "/" + EVENT_MILLIS;
    private static final int TO_KILL_MILLIS = 2_000;
    private static final int DOWN_MILLIS = 500;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int MARGIN_MILLIS = 300;
    private static final int MIN_TAKEN_UP = 12;

    private final Installation mInstallation;
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();
    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));

    private TakenUpStreams(Installation installation) {
        mInstallation = installation;
    }

    public static void main(String[] arguments) {
        boolean broken = false;
        try (Installation installation = new Installation(Path.of(arguments[0]))) {
            broken = new TakenUpStreams(installation).run();
        } catch (Exception failure) {
            failure.printStackTrace();
            System.exit(2);
        }
        System.exit(broken ? 1 : 0);
    }

    /** Returns whether too few of the streams that are taken up go on. */
    private boolean run() throws Exception {
        startEngines();
        List<Gateway> gateways = new ArrayList<>();
        int peerPorts = Installation.freePorts(2);
        for (int number = 1; number <= GATEWAYS; number++) {
            gateways.add(
                    mInstallation.startGateway(
                            "front-" + number, "zone-rennes", "127.0.0." + number, peerPorts));
        }
        Installation.pause(CONTACT_MILLIS);
        List<CompletableFuture<Begun>> streams = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            Gateway gateway = gateways.get(number % GATEWAYS);
            streams.add(inBackground(() -> begin(gateway)));
        }
        Installation.pause(TO_KILL_MILLIS);
        if (mTrouble) {
            gateways = restart(gateways);
        } else {
            Installation.pause(DOWN_MILLIS);
        }
        Installation.pause(CONTACT_MILLIS + MARGIN_MILLIS);
        return takeUp(streams, gateways);
    }

    private void startEngines() throws Exception {
        for (String version : List.of("v1", "v1.1")) {
            for (int number = 1; number <= 2; number++) {
                RunningEngine engine =
                        mInstallation.startEngine("i-" + version + "-" + number, "zone-rennes", 0);
                mInstallation.register(engine, version);
            }
        }
    }

    private List<Gateway> restart(List<Gateway> gateways) throws Exception {
        for (Gateway gateway : gateways) {
            mInstallation.signal(gateway.process(), "KILL", "gateway " + gateway.name());
        }
        Installation.pause(DOWN_MILLIS);
        List<Gateway> started = new ArrayList<>();
        for (Gateway gateway : gateways) {
            started.add(mInstallation.startAgain(gateway));
        }
        return started;
    }

    /** A stream whose channel broke: the try that began it, and its last event. */
    private record Begun(String id, long events, long startedMillis) {}

    private int mNumber;

    private synchronized String nextId(String kind) {
        return kind + "-" + ++mNumber;
    }

    /** Reads a stream until its channel breaks, or leaves it when the kill would be. */
    private Begun begin(Gateway gateway) throws IOException {
        long started = System.currentTimeMillis();
        String id = nextId("stream");
        Caller caller = new Caller(gateway.port(), mInstallation::record);
        if (!mTrouble) {
            mThreads.submit(
                    () -> {
                        Installation.pause(TO_KILL_MILLIS);
                        caller.close();
                        return null;
                    });
        }
        Caller.Answer got = caller.call(TARGET, id, DEADLINE_MILLIS);
        mInstallation.record("request " + id + " at " + gateway.name() + ": " + got);
        return new Begun(id, got.events(), started);
    }

    private boolean takeUp(List<CompletableFuture<Begun>> streams, List<Gateway> gateways)
            throws Exception {
        List<CompletableFuture<Boolean>> takenUp = new ArrayList<>();
        List<CompletableFuture<Boolean>> begun = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            Begun stream = streams.get(number).get(20, TimeUnit.SECONDS);
            Gateway gateway = gateways.get(number % GATEWAYS);
            takenUp.add(inBackground(() -> goesOn(stream, gateway)));
            begun.add(inBackground(() -> begins(gateway)));
        }
        long goneOn = count(takenUp);
        long newBegun = count(begun);
        boolean broken =
                STREAMS >= MIN_TAKEN_UP && 2.0 * goneOn / STREAMS < (double) newBegun / STREAMS;
        mInstallation.record(
                (broken ? "BROKEN: " : "HELD: ")
                        + goneOn
                        + " of "
                        + STREAMS
                        + " streams that were taken up went on, "
                        + newBegun
                        + " of "
                        + STREAMS
                        + " new ones began");
        return broken;
    }

    private static long count(List<CompletableFuture<Boolean>> outcomes) throws Exception {
        long count = 0;
        for (CompletableFuture<Boolean> each : outcomes) {
            count += each.get(30, TimeUnit.SECONDS) ? 1 : 0;
        }
        return count;
    }

    private boolean goesOn(Begun stream, Gateway gateway) throws IOException {
        int left = (int) (DEADLINE_MILLIS - (System.currentTimeMillis() - stream.startedMillis()));
        String id = nextId("again");
        try (Caller caller = new Caller(gateway.port(), mInstallation::record)) {
            Caller.Answer got = caller.takeUp(TARGET, id, left, stream.id(), stream.events());
            mInstallation.record(
                    "request "
                            + id
                            + " takes up "
                            + stream.id()
                            + " after event "
                            + stream.events()
                            + " at "
                            + gateway.name()
                            + ": "
                            + got);
            return got.status() == 200 && got.events() > 0;
        }
    }

    private boolean begins(Gateway gateway) throws IOException {
        String id = nextId("new");
        try (Caller caller = new Caller(gateway.port(), mInstallation::record)) {
            Caller.Answer got = caller.call("/chat/10/" + EVENT_MILLIS, id, DEADLINE_MILLIS);
            mInstallation.record("request " + id + " at " + gateway.name() + ": " + got);
            return got.status() == 200 && got.events() > 0;
        }
    }

    private interface Call<T> {
        T run() throws IOException;
    }

    private <T> CompletableFuture<T> inBackground(Call<T> call) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return call.run();
                    } catch (IOException failure) {
                        throw new IllegalStateException(failure);
                    }
                },
                mThreads);
    }
}
