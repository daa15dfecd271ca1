package org.wasabilug.scenarios.internal.chaos;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.checker.Invariants;
import org.wasabilug.scenarios.internal.checker.Violation;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fleet.CoreFactory;
import org.wasabilug.scenarios.internal.fleet.Fleet;
import org.wasabilug.scenarios.internal.fleet.FleetShape;
import org.wasabilug.scenarios.internal.fleet.InstanceProcess;

/** A run under constant load and random faults, checked against all invariants. */
public final class ChaosRun {
    private static final int REQUESTS = 600;
    private static final long ARRIVAL_INTERVAL_NANOS = 50 * VirtualClock.MILLISECOND_NANOS;
    private static final int FAULTS = 10;
    private static final int AT_MOST_ONCE_INTERVAL = 3;
    private static final int RESUBMIT_ODDS = 7;
    private static final int POISON_INTERVAL = 199;
    private static final long MAX_RESUBMIT_DELAY_NANOS = 3 * VirtualClock.SECOND_NANOS;
    private static final long SETTLE_MILLISECONDS = 70_000;

    private final FleetShape mShape;
    private final Fleet mFleet;
    private final FaultSchedule mFaults;
    private final UniformRandomProvider mRandom;

    /**
     * Creates a run without starting it.
     *
     * @param shape the deployment
     * @param cores creates the decision cores
     * @param seed seed of the fleet; the faults and the requests use seeds derived from it
     */
    public ChaosRun(FleetShape shape, CoreFactory cores, long seed) {
        mShape = shape;
        mFleet = new Fleet(shape, cores, seed);
        mFaults = new FaultSchedule(mFleet, shape, seed + 1);
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2);
    }

    /**
     * Runs the load and the faults, heals the fleet and checks the invariants.
     *
     * @return all violations; empty if every invariant holds
     */
    public List<Violation> run() {
        mFleet.start();
        mFaults.schedule(FAULTS, REQUESTS * ARRIVAL_INTERVAL_NANOS);
        for (int index = 0; index < REQUESTS; index++) {
            submit(request(index));
            mFleet.runMilliseconds(ARRIVAL_INTERVAL_NANOS / VirtualClock.MILLISECOND_NANOS);
        }
        mFleet.runMilliseconds(SETTLE_MILLISECONDS);
        mFaults.heal();
        mFleet.runMilliseconds(SETTLE_MILLISECONDS);
        List<Violation> violations =
                new ArrayList<>(new Invariants(mShape.endpoints()).check(mFleet.history()));
        violations.addAll(checkConvergence());
        return violations;
    }

    private CallerRequest request(int index) {
        boolean atMostOnce = index % AT_MOST_ONCE_INTERVAL == 0;
        String body =
                index % POISON_INTERVAL == POISON_INTERVAL - 1
                        ? FakeEndpoint.POISON + "-" + index / POISON_INTERVAL
                        : "cold room " + index;
        return mShape.request(
                "r" + index,
                atMostOnce ? FleetShape.TRANSFERS : FleetShape.CERTIFICATES,
                index,
                body,
                atMostOnce);
    }

    private void submit(CallerRequest request) {
        submitToRandomInstance(request);
        boolean keyed = request.idempotencyKey().isPresent();
        if (keyed && mRandom.nextInt(RESUBMIT_ODDS) == 0) {
            mFleet.clock()
                    .after(
                            mRandom.nextLong(MAX_RESUBMIT_DELAY_NANOS),
                            () -> submitToRandomInstance(request));
        }
    }

    private void submitToRandomInstance(CallerRequest request) {
        List<InstanceName> alive =
                mFleet.instances().stream()
                        .filter(InstanceProcess::isAlive)
                        .map(InstanceProcess::name)
                        .toList();
        if (!alive.isEmpty()) {
            mFleet.submit(alive.get(mRandom.nextInt(alive.size())), request);
        }
    }

    private List<Violation> checkConvergence() {
        long versions =
                mFleet.instances().stream()
                        .filter(InstanceProcess::isAlive)
                        .map(process -> process.configuration().hash())
                        .distinct()
                        .count();
        return versions == 1
                ? List.of()
                : List.of(
                        new Violation(
                                "CONFIG",
                                versions + " different configurations after healing",
                                List.of()));
    }

    /**
     * Returns the fleet, for access to its history.
     *
     * @return the fleet of this run
     */
    public Fleet fleet() {
        return mFleet;
    }
}
