package org.wasabilug.bench.internal.virtual;

import org.wasabilug.model.FailureDomainName;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fleet.Fleet;

/** Starts and ends disturbances in a running fleet. */
final class DisturbanceInjector {
    private final Fleet mFleet;
    private final FailureDomainName mFirstDomain;

    DisturbanceInjector(Fleet fleet, FailureDomainName firstDomain) {
        mFleet = fleet;
        mFirstDomain = firstDomain;
    }

    void setActive(Disturbance disturbance, boolean active) {
        switch (disturbance) {
            case Disturbance.SlowStage slow ->
                    mFleet.endpoints().stream()
                            .filter(each -> isInPool(each, slow.pool()))
                            .forEach(each -> each.setSlowFactor(active ? slow.factor() : 1));
            case Disturbance.SlowEndpoint slow ->
                    firstInPool(slow.pool()).setSlowFactor(active ? slow.factor() : 1);
            case Disturbance.FailingEndpoint failing ->
                    firstInPool(failing.pool()).setFailing(active);
            case Disturbance.ColdDomain() -> {
                if (active) {
                    turnFirstDomainCold();
                }
            }
            case Disturbance.DomainMove() -> mFleet.setOutOfService(mFirstDomain, active);
            case Disturbance.PlatformUnavailable() -> mFleet.platform().faults().setDown(active);
            case Disturbance.None _, Disturbance.Burst _ -> {
                // Affects no component of the fleet; a burst changes the arrival rate instead.
            }
        }
    }

    private static boolean isInPool(FakeEndpoint endpoint, String pool) {
        return endpoint.configuration().pool().value().equals(pool);
    }

    private FakeEndpoint firstInPool(String pool) {
        return mFleet.endpoints().stream()
                .filter(each -> isInPool(each, pool))
                .findFirst()
                .orElseThrow();
    }

    private void turnFirstDomainCold() {
        mFleet.endpoints().stream()
                .filter(each -> each.configuration().failureDomain().equals(mFirstDomain))
                .forEach(FakeEndpoint::turnCold);
    }
}
