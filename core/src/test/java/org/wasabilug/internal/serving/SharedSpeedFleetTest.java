package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Selectors of many instances in virtual time; each hears of the others about a second late. */
class SharedSpeedFleetTest {
    private static final int INSTANCES = 40;
    private static final int ENGINES = 20;
    private static final int REQUESTS_PER_SECOND = 100;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long DELAY_MILLIS = 1_000;
    private static final double MILLIS_PER_REQUEST = 70;
    private static final PromptSize PROMPT = PromptSize.of(2_000, 100, List.of());

    private final Random mRandom = new Random(1);
    private final List<Instance> mInstances = new ArrayList<>();
    private final long[] mBusyUntil = new long[ENGINES];
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private final Map<Long, int[]> mSendsBySecond = new HashMap<>();
    private final int[] mRunning = new int[ENGINES];
    private final double[] mLasting = new double[ENGINES];
    private Percentage mPercent = (engine, now) -> 100;
    private boolean mStated = true;
    private long mElapsedMillis;

    /** Time that work takes at an engine at a time, in percent of the usual. */
    private interface Percentage {
        int of(int engine, long nowMillis);
    }

    private record Event(long atMillis, Runnable action) {}

    /** One instance's state of the engines. */
    private static final class Instance {
        private final String mName;
        private final ServiceSpeeds mSpeeds = new ServiceSpeeds();
        private final EndpointSelector mSelector =
                new EndpointSelector(
                        new ColdLimits(1.5, 5),
                        new BrittleServices(),
                        new PrefixCacheEstimator(),
                        mSpeeds);
        private final List<EndpointState> mEngines = new ArrayList<>();

        Instance(int number) {
            mName = "instance-" + number;
            for (int engine = 0; engine < ENGINES; engine++) {
                mEngines.add(ServingFixtures.endpoint("engine-" + engine, "rennes"));
            }
        }

        Selection.Chosen choose(long now) {
            SelectionRequest request =
                    new SelectionRequest(
                            ServingFixtures.engines(0),
                            Set.of(),
                            Optional.empty(),
                            "rennes",
                            false,
                            PROMPT,
                            new FleetView(mName, INSTANCES, INSTANCES, 0));
            return (Selection.Chosen) mSelector.choose(request, mEngines, now);
        }
    }

    private void run(int seconds) {
        for (int instance = 0; instance < INSTANCES; instance++) {
            mInstances.add(new Instance(instance));
        }
        for (int request = 0; request < seconds * REQUESTS_PER_SECOND; request++) {
            long at = mRandom.nextInt(seconds * 1_000);
            mEvents.add(new Event(at, () -> send(at)));
        }
        for (Instance instance : mInstances) {
            long offset = mRandom.nextInt((int) HEARTBEAT_MILLIS);
            for (long at = offset; at < seconds * 1_000L; at += HEARTBEAT_MILLIS) {
                long now = at;
                mEvents.add(new Event(now, () -> writeHeartbeat(instance, now)));
            }
        }
        while (!mEvents.isEmpty()) {
            mEvents.poll().action().run();
        }
    }

    private void send(long now) {
        Instance instance = mInstances.get(mRandom.nextInt(INSTANCES));
        Selection.Chosen chosen = instance.choose(now);
        EndpointState endpoint = chosen.endpoint();
        int engine = instance.mEngines.indexOf(endpoint);
        mSendsBySecond.computeIfAbsent(now / 1_000, each -> new int[ENGINES])[engine]++;
        endpoint.recordSent(PROMPT.load(), now);
        ServiceSpeeds.Prediction prediction =
                instance.mSpeeds.predict(endpoint, chosen.workMillis(), now);
        long start = Math.max(mBusyUntil[engine], now);
        double millis = MILLIS_PER_REQUEST * mLasting[engine] * mPercent.of(engine, start) / 100;
        long done = start + (long) millis;
        mBusyUntil[engine] = done;
        mRunning[engine]++;
        mElapsedMillis += done - now;
        mEvents.add(new Event(done, () -> respond(instance, engine, prediction, done)));
    }

    private void respond(
            Instance instance, int engine, ServiceSpeeds.Prediction prediction, long now) {
        EndpointState endpoint = instance.mEngines.get(engine);
        int percent = mStated ? mPercent.of(engine, now) : 0;
        ServerLoad load = new ServerLoad(mRunning[engine], 0, 64, percent);
        instance.mSpeeds.recordStated(endpoint, load, now);
        instance.mSpeeds.recordElapsed(endpoint, prediction, now - prediction.sentMillis(), now);
        endpoint.releaseLoad(PROMPT.load());
        mRunning[engine]--;
    }

    /** The peers read the state of the moment of writing, a while later. */
    private void writeHeartbeat(Instance sender, long now) {
        for (int engine = 0; engine < ENGINES; engine++) {
            int index = engine;
            EndpointLoad load = sender.mEngines.get(engine).localLoad();
            var observation = sender.mEngines.get(engine).speed().recentObservation(now);
            mEvents.add(
                    new Event(
                            now + DELAY_MILLIS,
                            () -> deliver(sender.mName, index, load, observation, now)));
        }
    }

    private void deliver(
            String sender,
            int engine,
            EndpointLoad load,
            Optional<EndpointSpeed.Observation> observation,
            long written) {
        for (Instance peer : mInstances) {
            if (!peer.mName.equals(sender)) {
                EndpointState state = peer.mEngines.get(engine);
                state.setPeerLoad(sender, load);
                observation.ifPresent(
                        each -> peer.mSpeeds.recordReport(state, sender, each, written));
            }
        }
    }

    private int sends(int engine, int fromSecond, int toSecond) {
        int sends = 0;
        for (long second = fromSecond; second < toSecond; second++) {
            sends += mSendsBySecond.getOrDefault(second, new int[ENGINES])[engine];
        }
        return sends;
    }

    @Test
    void slowEnginesGetLessWorkButAreNotAbandoned() {
        for (int engine = 0; engine < ENGINES; engine++) {
            mLasting[engine] = engine < 6 ? 1 / 0.6 : engine < 14 ? 1 : 1 / 1.6;
        }
        run(120);

        int slow = 0;
        int fast = 0;
        for (int engine = 0; engine < 6; engine++) {
            assertThat(sends(engine, 60, 120)).isPositive();
            slow += sends(engine, 60, 120);
            fast += sends(ENGINES - 1 - engine, 60, 120);
        }
        assertThat(fast).isGreaterThan(2 * slow);
    }

    /**
     * Guards against instances that all follow the same stale report of a fast engine, and against
     * engines that stay without work because of a queue that nobody had known of.
     */
    @Test
    void instancesDoNotRushToTheEngineThatIsReportedAsFast() {
        Arrays.fill(mLasting, 1);
        mPercent = (engine, now) -> engine == 7 ? 20 : 100;
        run(40);

        int evenShare = REQUESTS_PER_SECOND / ENGINES;
        double capacityOfFast = 1_000 / (0.2 * MILLIS_PER_REQUEST);
        for (int second = 12; second < 40; second++) {
            assertThat(sends(7, second, second + 1)).isLessThan((int) capacityOfFast);
        }
        for (int engine = 0; engine < ENGINES; engine++) {
            assertThat(sends(engine, 12, 40) / 28.0).isGreaterThan(evenShare / 4.0);
        }
        assertThat(sends(7, 12, 40) / 28.0).isBetween(1.0 * evenShare, 5.0 * evenShare);
    }

    /** Guards against stale figures that make the choice worse than no figures. */
    @Test
    void figuresThatChangeManyTimesASecondDoNoHarm() {
        Percentage changing =
                (engine, now) -> new Random(31 * engine + now / 300).nextInt(4) == 0 ? 250 : 50;
        long without = elapsed(changing, false);
        long with = elapsed(changing, true);

        assertThat(with).isLessThanOrEqualTo(without);
    }

    private static long elapsed(Percentage percentage, boolean stated) {
        SharedSpeedFleetTest fleet = new SharedSpeedFleetTest();
        Arrays.fill(fleet.mLasting, 1);
        fleet.mPercent = percentage;
        fleet.mStated = stated;
        fleet.run(60);
        return fleet.mElapsedMillis;
    }
}
