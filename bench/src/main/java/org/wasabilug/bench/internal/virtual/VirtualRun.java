package org.wasabilug.bench.internal.virtual;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.fleet.Fleet;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** Runs one experiment; the same experiment gives the same figures. */
public final class VirtualRun {
    private static final long WARM_UP_NANOS = 5 * VirtualClock.SECOND_NANOS;
    private static final long DRAIN_NANOS = 10 * VirtualClock.SECOND_NANOS;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Experiment mExperiment;
    private final FleetShape mShape;
    private final Fleet mFleet;
    private final UniformRandomProvider mRandom;
    private final RequestMix mMix;
    private final List<InstanceName> mInstances;
    private final double mCapacityPerSecond;
    private Window mWindow;

    /**
     * Prepares a run.
     *
     * @param experiment what to run
     */
    public VirtualRun(Experiment experiment) {
        mExperiment = experiment;
        mShape = experiment.deployment().shape();
        mFleet = new Fleet(mShape, experiment.contender().cores(), experiment.seed());
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(experiment.seed());
        mMix = new RequestMix(mShape, mRandom);
        mInstances = List.copyOf(mShape.instances().keySet());
        mCapacityPerSecond = new Capacity(mShape).perSecond(experiment.disturbance());
    }

    /**
     * Runs the experiment to its end.
     *
     * @return its figures
     */
    public Figures run() {
        mFleet.start();
        VirtualClock clock = mFleet.clock();
        long lengthNanos = mExperiment.milliseconds() * VirtualClock.MILLISECOND_NANOS;
        mWindow = Window.of(clock.nowNanos() + WARM_UP_NANOS, lengthNanos);
        DisturbanceSwitch disturbances =
                new DisturbanceSwitch(mFleet, Capacity.firstDomain(mShape));
        clock.at(mWindow.disturbedNanos(), () -> disturbances.set(mExperiment.disturbance(), true));
        clock.at(mWindow.restoredNanos(), () -> disturbances.set(mExperiment.disturbance(), false));
        scheduleArrival();
        clock.runUntil(mWindow.endNanos() + DRAIN_NANOS);
        return new FigureMaker(mShape, mWindow).make(mFleet, mCapacityPerSecond);
    }

    /** Schedules arrivals one after another, whatever becomes of the earlier ones. */
    private void scheduleArrival() {
        long gapNanos = (long) (-Math.log1p(-mRandom.nextDouble()) * meanGapNanos());
        long atNanos = mFleet.clock().nowNanos() + gapNanos;
        if (atNanos < mWindow.endNanos()) {
            mFleet.clock().at(atNanos, this::arrive);
        }
    }

    private void arrive() {
        InstanceName instance = mInstances.get(mRandom.nextInt(mInstances.size()));
        mFleet.submit(instance, mMix.draw());
        scheduleArrival();
    }

    private double meanGapNanos() {
        return NANOS_PER_SECOND / (mCapacityPerSecond * mExperiment.load() * burstFactor());
    }

    private double burstFactor() {
        if (mExperiment.disturbance() instanceof Disturbance.Burst burst) {
            long sinceNanos = mFleet.clock().nowNanos() - mWindow.disturbedNanos();
            boolean lasts =
                    sinceNanos >= 0
                            && sinceNanos < burst.milliseconds() * VirtualClock.MILLISECOND_NANOS;
            return lasts ? burst.factor() : 1;
        }
        return 1;
    }
}
