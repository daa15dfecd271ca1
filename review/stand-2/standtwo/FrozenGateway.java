package standtwo;

import standtwo.Installation.Gateway;
import standtwo.Installation.RunningEngine;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A gateway freezes while an engine writes a stream through it. Meanwhile the engine crashes and
 * starts again at its address. TROUBLE=0 has neither.
 */
final class FrozenGateway {
    private static final int ROUNDS = 4;
    private static final int EVENTS = 90;
    private static final int EVENT_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 15_000;
    private static final int EVENTS_BEFORE = 10;
    private static final int FREEZE_MILLIS = 4_000;
    private static final int TO_CRASH_MILLIS = 500;

    /** The next process takes some hundred milliseconds to listen, within 2 s of the crash. */
    private static final int TO_START_MILLIS = 1_200;

    private FrozenGateway() {}

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int broken = 0;
        try (Installation installation = new Installation(Path.of(arguments[0]))) {
            for (int round = 1; round <= ROUNDS; round++) {
                broken += play(installation, round, trouble) ? 1 : 0;
            }
            installation.record(
                    (broken > 0 ? "BROKEN: " : "HELD: ")
                            + broken
                            + " of "
                            + ROUNDS
                            + " streams ended as complete before their last event");
        } catch (Exception failure) {
            failure.printStackTrace();
            System.exit(2);
        }
        System.exit(broken > 0 ? 1 : 0);
    }

    /** Returns whether the stream ended as complete before its last event. */
    private static boolean play(Installation installation, int round, boolean trouble)
            throws Exception {
        RunningEngine engine = installation.startEngine("i-a" + round, "zone-rennes", 0);
        installation.register(engine);
        Gateway gateway = installation.startGateway("front-" + round, "zone-rennes");
        CountDownLatch begun = new CountDownLatch(EVENTS_BEFORE);
        String id = "stream-" + round;
        CompletableFuture<Caller.Answer> answer =
                CompletableFuture.supplyAsync(() -> call(installation, gateway, id, begun));
        if (!begun.await(10, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the stream did not begin");
        }
        if (trouble) {
            disrupt(installation, round, engine, gateway);
        }
        Caller.Answer got = answer.get(30, TimeUnit.SECONDS);
        boolean broken = got.status() == 200 && got.complete() && got.events() < EVENTS;
        installation.record(
                "request "
                        + id
                        + " ("
                        + EVENTS
                        + " events): "
                        + got
                        + (broken ? "  PART OF THE ANSWER AS THE WHOLE" : ""));
        Installation.pause(300);
        installation.recordLog(gateway, "\"unmarked-end\"", "\"attempt-failed\"", "\"answered\"");
        gateway.process().destroyForcibly();
        installation.endEngines();
        return broken;
    }

    private static Caller.Answer call(
            Installation installation, Gateway gateway, String id, CountDownLatch begun) {
        try (Caller caller = new Caller(gateway.port(), installation::record)) {
            return caller.call(
                    "/chat/" + EVENTS + "/" + EVENT_MILLIS,
                    id,
                    DEADLINE_MILLIS,
                    events -> begun.countDown());
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static void disrupt(
            Installation installation, int round, RunningEngine engine, Gateway gateway)
            throws Exception {
        installation.signal(gateway.process(), "STOP", "gateway " + gateway.name());
        long frozen = System.nanoTime();
        Installation.pause(TO_CRASH_MILLIS);
        installation.signal(engine.process(), "KILL", "engine " + engine.id());
        long crashed = System.nanoTime();
        engine.process().waitFor();
        Installation.pause(TO_START_MILLIS);
        RunningEngine next = installation.startEngine("i-b" + round, engine.zone(), engine.port());
        installation.register(next);
        installation.record("the engine was down for " + millisSince(crashed) + " ms");
        Installation.pause(FREEZE_MILLIS - 50 - millisSince(frozen));
        installation.signal(gateway.process(), "CONT", "gateway " + gateway.name());
        installation.record("the gateway was frozen for " + millisSince(frozen) + " ms");
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }
}
