package org.wasabilug.bench.internal.virtual;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.fleet.Fleet;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** Runs one experiment in virtual time; equal experiments produce equal figures. */
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
    private MeasurementWindow mWindow;

    /**
     * Creates a run.
     *
     * @param experiment parameters of the run
     */
    public VirtualRun(Experiment experiment) {
        mExperiment = experiment;
        mShape = experiment.deployment().shape();
        mFleet = new Fleet(mShape, experiment.contender().coreFactory(), experiment.seed());
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(experiment.seed());
        mMix = new RequestMix(mShape, mRandom);
        mInstances = List.copyOf(mShape.instances().keySet());
        mCapacityPerSecond = new Capacity(mShape).perSecond(experiment.disturbance());
    }

    /**
     * Runs the experiment to completion.
     *
     * @return the results
     */
    public Figures run() {
        mFleet.start();
        VirtualClock clock = mFleet.clock();
        long lengthNanos = mExperiment.milliseconds() * VirtualClock.MILLISECOND_NANOS;
        mWindow = MeasurementWindow.of(clock.nowNanos() + WARM_UP_NANOS, lengthNanos);
        DisturbanceInjector injector =
                new DisturbanceInjector(mFleet, Capacity.firstDomain(mShape));
        clock.at(
                mWindow.disturbanceStartNanos(),
                () -> injector.setActive(mExperiment.disturbance(), true));
        clock.at(
                mWindow.disturbanceEndNanos(),
                () -> injector.setActive(mExperiment.disturbance(), false));
        scheduleArrival();
        clock.runUntil(mWindow.endNanos() + DRAIN_NANOS);
        return new FigureCalculator(mShape, mWindow).calculate(mFleet, mCapacityPerSecond);
    }

    /** Schedules the next arrival, regardless of the outcome of earlier requests. */
    private void scheduleArrival() {
        long intervalNanos = (long) (-Math.log1p(-mRandom.nextDouble()) * meanIntervalNanos());
        long atNanos = mFleet.clock().nowNanos() + intervalNanos;
        if (atNanos < mWindow.endNanos()) {
            mFleet.clock().at(atNanos, this::arrive);
        }
    }

    private void arrive() {
        InstanceName instance = mInstances.get(mRandom.nextInt(mInstances.size()));
        mFleet.submit(instance, mMix.draw());
        scheduleArrival();
    }

    private double meanIntervalNanos() {
        return NANOS_PER_SECOND / (mCapacityPerSecond * mExperiment.load() * burstFactor());
    }

    private double burstFactor() {
        if (mExperiment.disturbance() instanceof Disturbance.Burst burst) {
            long sinceNanos = mFleet.clock().nowNanos() - mWindow.disturbanceStartNanos();
            boolean active =
                    sinceNanos >= 0
                            && sinceNanos < burst.milliseconds() * VirtualClock.MILLISECOND_NANOS;
            return active ? burst.factor() : 1;
        }
        return 1;
    }
}
