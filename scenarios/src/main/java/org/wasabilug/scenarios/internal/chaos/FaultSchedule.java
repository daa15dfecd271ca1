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

/** Lays faults over a run of a fleet: alone, together and twice, as its seed says. */
public final class FaultSchedule {
    private static final long LONGEST_FAULT_NANOS = 6 * VirtualClock.SECOND_NANOS;
    private static final long SLOW_PLATFORM_NANOS = 400 * VirtualClock.MILLISECOND_NANOS;
    private static final long LATE_COMMIT_NANOS = 2_500 * VirtualClock.MILLISECOND_NANOS;
    private static final double SLOW_FACTOR = 5;
    private static final int MOST_LOST_ANSWERS = 6;

    private final Fleet mFleet;
    private final UniformRandomProvider mRandom;
    private final List<InstanceName> mNames;
    private final List<FailureDomainName> mDomains;
    private final Set<InstanceName> mWithoutPlatform = new HashSet<>();

    /**
     * Creates a schedule.
     *
     * @param fleet the fleet that suffers
     * @param shape its shape
     * @param seed decides what happens when
     */
    public FaultSchedule(Fleet fleet, FleetShape shape, long seed) {
        mFleet = fleet;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mNames = List.copyOf(shape.instances().keySet());
        mDomains = shape.instances().values().stream().distinct().toList();
    }

    /**
     * Schedules faults.
     *
     * @param count how many
     * @param periodNanos they begin within this period from now
     */
    public void schedule(int count, long periodNanos) {
        for (int index = 0; index < count; index++) {
            long begin = mRandom.nextLong(periodNanos);
            long length = 1 + mRandom.nextLong(LONGEST_FAULT_NANOS);
            List<Runnable> fault = randomFault();
            mFleet.clock().after(begin, fault.getFirst());
            mFleet.clock().after(begin + length, fault.getLast());
        }
    }

    /** A fault as two steps: what begins and what ends it. */
    private List<Runnable> randomFault() {
        InstanceName instance = pick(mNames);
        FakeEndpoint endpoint = pick(mFleet.endpoints());
        return switch (FaultKind.values()[mRandom.nextInt(FaultKind.values().length)]) {
            case KILL -> List.of(() -> kill(instance), () -> restart(instance));
            case STOP -> List.of(() -> stop(instance), () -> restart(instance));
            case PAUSE -> List.of(() -> pause(instance, true), () -> pause(instance, false));
            case TURN_COLD -> List.of(endpoint::turnCold);
            case SLOW_ENDPOINT ->
                    List.of(
                            () -> endpoint.setSlowFactor(SLOW_FACTOR),
                            () -> endpoint.setSlowFactor(1));
            case FAILING_ENDPOINT ->
                    List.of(() -> endpoint.setFailing(true), () -> endpoint.setFailing(false));
            case PLATFORM_DOWN -> List.of(() -> platformDown(true), () -> platformDown(false));
            case PLATFORM_SLOW -> List.of(() -> delay(SLOW_PLATFORM_NANOS), () -> delay(0));
            case LATE_COMMITS -> List.of(() -> delay(LATE_COMMIT_NANOS), () -> delay(0));
            case LOST_ANSWERS ->
                    List.of(
                            () ->
                                    mFleet.platform()
                                            .faults()
                                            .loseNextAnswers(
                                                    1 + mRandom.nextInt(MOST_LOST_ANSWERS)));
            case CUT_FROM_PLATFORM ->
                    List.of(() -> cutOff(instance, true), () -> cutOff(instance, false));
            case PARTITION -> partition(pick(mDomains), pick(mDomains));
            case DOMAIN_OUT -> moveDomain(pick(mDomains));
            case LEAVING_ENDPOINT ->
                    List.of(() -> mFleet.listAsLeaving(endpoint.configuration().name()));
        };
    }

    private <T> T pick(List<T> values) {
        return values.get(mRandom.nextInt(values.size()));
    }

    private void note(String what) {
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
            note("started " + name);
            mFleet.startInstance(name, mFleet.instance(name).failureDomain());
        }
    }

    private void pause(InstanceName name, boolean paused) {
        mFleet.setPaused(name, paused);
    }

    private void platformDown(boolean down) {
        note(down ? "platform down" : "platform up");
        mFleet.platform().faults().setDown(down);
        notePlatform();
    }

    /** Faults overlap, so the end of one need not bring the platform back. */
    private void notePlatform() {
        PlatformFaults faults = mFleet.platform().faults();
        boolean slow = faults.delayNanos() > SLOW_PLATFORM_NANOS;
        for (InstanceName name : mNames) {
            boolean cut = slow || !faults.isReachable(name);
            if (cut ? mWithoutPlatform.add(name) : mWithoutPlatform.remove(name)) {
                mFleet.history().add(new HistoryEvent.PlatformCut(name, cut));
            }
        }
    }

    private void delay(long nanos) {
        note("platform answers after " + nanos / VirtualClock.MILLISECOND_NANOS + " ms more");
        mFleet.platform().faults().setDelayNanos(nanos);
        notePlatform();
    }

    private void cutOff(InstanceName name, boolean cutOff) {
        mFleet.platform().faults().setCutOff(name, cutOff);
        notePlatform();
    }

    private List<Runnable> partition(FailureDomainName one, FailureDomainName other) {
        return List.of(() -> cut(one, other, true), () -> cut(one, other, false));
    }

    private void cut(FailureDomainName one, FailureDomainName other, boolean cut) {
        if (!one.equals(other)) {
            mFleet.setCut(one, other, cut);
        }
    }

    private List<Runnable> moveDomain(FailureDomainName domain) {
        return List.of(
                () -> mFleet.setOutOfService(domain, true),
                () -> mFleet.setOutOfService(domain, false));
    }

    /** Ends every fault and starts what is dead. */
    public void heal() {
        List<InstanceName> names = new ArrayList<>(mNames);
        names.forEach(name -> mFleet.platform().faults().setCutOff(name, false));
        mFleet.platform().faults().setDown(false);
        mFleet.platform().faults().setDelayNanos(0);
        mFleet.platform().faults().loseNextAnswers(0);
        notePlatform();
        mFleet.endpoints().forEach(endpoint -> endpoint.setSlowFactor(1));
        mFleet.endpoints().forEach(endpoint -> endpoint.setFailing(false));
        names.forEach(this::restart);
    }
}
