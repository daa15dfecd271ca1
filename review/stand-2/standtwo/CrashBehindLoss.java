package standtwo;

import standtwo.Installation.Gateway;
import standtwo.Installation.RunningEngine;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Engines of a service crash, one at a time, while they answer over links that lose packets.
 * TROUBLE=0 has neither crashes nor losses; LOSSLESS=1 has crashes only.
 */
final class CrashBehindLoss {
    private static final double LOSS = 0.025;
    private static final int CRASHES = 12;
    private static final int ENGINES = 4;
    private static final int STREAMS = 32;
    private static final int STREAM_EVENTS = 50;
    private static final int STREAM_MILLIS = 60;
    private static final int STREAM_DEADLINE_MILLIS = 15_000;
    private static final int ENTRIES = 16;
    private static final int ENTRY_PARTS = 2;
    private static final int ENTRY_MILLIS = 1_000;
    private static final int ENTRY_DEADLINE_MILLIS = 1_500;
    private static final int TO_ENTRIES_MILLIS = 700;
    private static final int TO_NEXT_MILLIS = 50;

    /** The gateway knows the next engine by then. */
    private static final int TO_CRASH_MILLIS = 700;

    private static final int AFTER_CRASH_MILLIS = 500;

    private final Installation mInstallation;
    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();
    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final double mLoss = mTrouble && System.getenv("LOSSLESS") == null ? LOSS : 0;
    private final long mSeed = System.nanoTime();
    private Gateway mGateway;
    private int mRequests;
    private int mBroken;

    private CrashBehindLoss(Installation installation) {
        mInstallation = installation;
    }

    /** An engine behind a link of its own. */
    private record LinkedEngine(RunningEngine engine, Link link) {}

    /** A request and how many events or parts its whole answer has. */
    private record Request(String id, int parts, CompletableFuture<Caller.Answer> answer) {}

    public static void main(String[] arguments) {
        int broken = 0;
        try (Installation installation = new Installation(Path.of(arguments[0]))) {
            CrashBehindLoss play = new CrashBehindLoss(installation);
            play.run();
            broken = play.mBroken;
        } catch (Exception failure) {
            failure.printStackTrace();
            System.exit(2);
        }
        System.exit(broken > 0 ? 1 : 0);
    }

    private void run() throws Exception {
        mInstallation.record("packets lost around each crash: " + mLoss + ", seed " + mSeed);
        Deque<LinkedEngine> engines = new ArrayDeque<>();
        for (int number = 1; number <= ENGINES; number++) {
            engines.add(start(-number));
        }
        mGateway = mInstallation.startGateway("front-1", "zone-brest");
        for (int crash = 1; crash <= CRASHES; crash++) {
            List<Request> requests = new ArrayList<>();
            for (int stream = 1; stream <= STREAMS; stream++) {
                requests.add(
                        send(
                                "stream-" + crash + "-" + stream,
                                "/chat/" + STREAM_EVENTS + "/" + STREAM_MILLIS,
                                STREAM_EVENTS,
                                STREAM_DEADLINE_MILLIS));
            }
            Installation.pause(TO_ENTRIES_MILLIS);
            for (int entry = 1; entry <= ENTRIES; entry++) {
                requests.add(
                        send(
                                "entry-" + crash + "-" + entry,
                                "/entry/" + ENTRY_PARTS + "/" + ENTRY_MILLIS,
                                ENTRY_PARTS,
                                ENTRY_DEADLINE_MILLIS));
            }
            Installation.pause(TO_NEXT_MILLIS);
            engines.add(start(crash));
            engines.forEach(each -> each.link().setLoss(mLoss));
            LinkedEngine engine = engines.remove();
            Installation.pause(TO_CRASH_MILLIS);
            if (mTrouble) {
                crash(engine);
            } else {
                mInstallation.drain(engine.engine());
            }
            Installation.pause(AFTER_CRASH_MILLIS);
            engines.forEach(each -> each.link().setLoss(0));
            for (Request request : requests) {
                check(request);
            }
            if (!mTrouble) {
                mInstallation.leave(engine.engine());
                engine.engine().process().destroy();
            }
        }
        mInstallation.recordLog(mGateway, "\"unmarked-end\"", "\"own-answer\"");
        mInstallation.record(
                (mBroken > 0 ? "BROKEN: " : "HELD: ")
                        + mBroken
                        + " of "
                        + mRequests
                        + " requests got a part of their answer as the whole");
    }

    private LinkedEngine start(int number) throws Exception {
        RunningEngine engine = mInstallation.startEngine("i-" + number, "zone-rennes", 0);
        Link link = new Link(engine.port(), mSeed + number);
        RunningEngine linked = mInstallation.behind(engine, link);
        mInstallation.register(linked);
        return new LinkedEngine(linked, link);
    }

    /** Kills an engine. The link refuses new channels from just before on, as the machine would. */
    private void crash(LinkedEngine engine) throws Exception {
        engine.link().close();
        mInstallation.signal(engine.engine().process(), "KILL", "engine " + engine.engine().id());
    }

    private Request send(String id, String target, int parts, int deadlineMillis) {
        int port = mGateway.port();
        return new Request(
                id,
                parts,
                CompletableFuture.supplyAsync(
                        () -> call(port, target, id, deadlineMillis), mThreads));
    }

    private Caller.Answer call(int port, String target, String id, int deadlineMillis) {
        try (Caller caller = new Caller(port, mInstallation::record)) {
            return caller.call(target, id, deadlineMillis);
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** A whole answer has all events; a failure or a cut answer is no whole one. */
    private void check(Request request) throws Exception {
        Caller.Answer got = request.answer().get(40, TimeUnit.SECONDS);
        boolean broken = got.status() == 200 && got.complete() && got.events() < request.parts();
        mRequests++;
        mBroken += broken ? 1 : 0;
        mInstallation.record(
                "request "
                        + request.id()
                        + " ("
                        + request.parts()
                        + " events): "
                        + got
                        + (broken ? "  PART OF THE ANSWER AS THE WHOLE" : ""));
    }
}
