package org.wasabilug.scenarios.internal.chaos;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fake.PlatformFaults;
import org.wasabilug.scenarios.internal.fleet.Fleet;
import org.wasabilug.scenarios.internal.fleet.FleetShape;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** Injects random faults into a run. Faults may overlap and recur; the seed determines them. */
public final class FaultSchedule {
    private static final long MAX_FAULT_NANOS = 6 * VirtualClock.SECOND_NANOS;
    private static final long SLOW_PLATFORM_NANOS = 400 * VirtualClock.MILLISECOND_NANOS;
    private static final long LATE_COMMIT_NANOS = 2_500 * VirtualClock.MILLISECOND_NANOS;
    private static final double SLOW_FACTOR = 5;
    private static final int MAX_LOST_ANSWERS = 6;

    private final Fleet mFleet;
    private final UniformRandomProvider mRandom;
    private final List<InstanceName> mNames;
    private final List<FailureDomainName> mDomains;
    private final Set<InstanceName> mCutFromPlatform = new HashSet<>();

    /**
     * Creates a schedule.
     *
     * @param fleet target of the faults
     * @param shape deployment of the fleet
     * @param seed seed of the kinds, targets, start times and durations
     */
    public FaultSchedule(Fleet fleet, FleetShape shape, long seed) {
        mFleet = fleet;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mNames = List.copyOf(shape.instances().keySet());
        mDomains = shape.instances().values().stream().distinct().toList();
    }

    /**
     * Schedules the start and end of random faults.
     *
     * @param count number of faults
     * @param periodNanos period from the current virtual time within which they begin
     */
    public void schedule(int count, long periodNanos) {
        for (int index = 0; index < count; index++) {
            long begin = mRandom.nextLong(periodNanos);
            long length = 1 + mRandom.nextLong(MAX_FAULT_NANOS);
            List<Runnable> fault = randomFault();
            mFleet.clock().after(begin, fault.getFirst());
            mFleet.clock().after(begin + length, fault.getLast());
        }
    }

    /** Returns the steps that begin and end a fault. A single step runs at both times. */
    private List<Runnable> randomFault() {
        InstanceName instance = pick(mNames);
        FakeEndpoint endpoint = pick(mFleet.endpoints());
        return switch (FaultKind.values()[mRandom.nextInt(FaultKind.values().length)]) {
            case KILL -> List.of(() -> kill(instance), () -> restart(instance));
            case STOP -> List.of(() -> stop(instance), () -> restart(instance));
            case PAUSE ->
                    List.of(() -> setPaused(instance, true), () -> setPaused(instance, false));
            case TURN_COLD -> List.of(endpoint::turnCold);
            case SLOW_ENDPOINT ->
                    List.of(
                            () -> endpoint.setSlowFactor(SLOW_FACTOR),
                            () -> endpoint.setSlowFactor(1));
            case FAILING_ENDPOINT ->
                    List.of(() -> endpoint.setFailing(true), () -> endpoint.setFailing(false));
            case PLATFORM_DOWN ->
                    List.of(() -> setPlatformDown(true), () -> setPlatformDown(false));
            case PLATFORM_SLOW ->
                    List.of(() -> setPlatformDelay(SLOW_PLATFORM_NANOS), () -> setPlatformDelay(0));
            case LATE_COMMITS ->
                    List.of(() -> setPlatformDelay(LATE_COMMIT_NANOS), () -> setPlatformDelay(0));
            case LOST_ANSWERS ->
                    List.of(
                            () ->
                                    mFleet.platform()
                                            .faults()
                                            .loseNextAnswers(
                                                    1 + mRandom.nextInt(MAX_LOST_ANSWERS)));
            case CUT_FROM_PLATFORM ->
                    List.of(
                            () -> setCutFromPlatform(instance, true),
                            () -> setCutFromPlatform(instance, false));
            case PARTITION -> partition(pick(mDomains), pick(mDomains));
            case DOMAIN_OUT -> takeDomainOut(pick(mDomains));
            case LEAVING_ENDPOINT ->
                    List.of(() -> mFleet.listAsLeaving(endpoint.configuration().name()));
        };
    }

    private <T> T pick(List<T> values) {
        return values.get(mRandom.nextInt(values.size()));
    }

    private void recordDisturbance(String what) {
        mFleet.history().add(new HistoryEvent.Disturbance(what));
    }

    private void kill(InstanceName name) {
        if (mFleet.instance(name).isAlive()) {
            mFleet.kill(name);
        }
    }

    private void stop(InstanceName name) {
        if (mFleet.instance(name).isAlive()) {
            mFleet.stop(name);
        }
    }

    private void restart(InstanceName name) {
        if (!mFleet.instance(name).isAlive()) {
            recordDisturbance("started " + name);
            mFleet.startInstance(name, mFleet.instance(name).failureDomain());
        }
    }

    private void setPaused(InstanceName name, boolean paused) {
        mFleet.setPaused(name, paused);
    }

    private void setPlatformDown(boolean down) {
        recordDisturbance(down ? "platform down" : "platform up");
        mFleet.platform().faults().setDown(down);
        recordPlatformReachability();
    }

    /**
     * Records changes of platform reachability. Faults overlap, so the end of one fault does not
     * necessarily make the platform reachable.
     */
    private void recordPlatformReachability() {
        PlatformFaults faults = mFleet.platform().faults();
        boolean slow = faults.extraLatencyNanos() > SLOW_PLATFORM_NANOS;
        for (InstanceName name : mNames) {
            boolean cut = slow || !faults.isReachable(name);
            if (cut ? mCutFromPlatform.add(name) : mCutFromPlatform.remove(name)) {
                mFleet.history().add(new HistoryEvent.PlatformCut(name, cut));
            }
        }
    }

    private void setPlatformDelay(long nanos) {
        recordDisturbance(
                "extra platform latency set to " + nanos / VirtualClock.MILLISECOND_NANOS + " ms");
        mFleet.platform().faults().setExtraLatencyNanos(nanos);
        recordPlatformReachability();
    }

    private void setCutFromPlatform(InstanceName name, boolean cutOff) {
        mFleet.platform().faults().setCutOff(name, cutOff);
        recordPlatformReachability();
    }

    private List<Runnable> partition(FailureDomainName one, FailureDomainName other) {
        return List.of(
                () -> setPartitioned(one, other, true), () -> setPartitioned(one, other, false));
    }

    private void setPartitioned(FailureDomainName one, FailureDomainName other, boolean cut) {
        if (!one.equals(other)) {
            mFleet.setCut(one, other, cut);
        }
    }

    private List<Runnable> takeDomainOut(FailureDomainName domain) {
        return List.of(
                () -> mFleet.setOutOfService(domain, true),
                () -> mFleet.setOutOfService(domain, false));
    }

    /** Ends the platform and endpoint faults and restarts all dead processes. */
    public void heal() {
        List<InstanceName> names = new ArrayList<>(mNames);
        names.forEach(name -> mFleet.platform().faults().setCutOff(name, false));
        mFleet.platform().faults().setDown(false);
        mFleet.platform().faults().setExtraLatencyNanos(0);
        mFleet.platform().faults().loseNextAnswers(0);
        recordPlatformReachability();
        mFleet.endpoints().forEach(endpoint -> endpoint.setSlowFactor(1));
        mFleet.endpoints().forEach(endpoint -> endpoint.setFailing(false));
        names.forEach(this::restart);
    }
}
