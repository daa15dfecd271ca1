package org.wasabilug.bench.internal.virtual;

import org.wasabilug.model.FailureDomainName;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fleet.Fleet;

/** Begins and ends a disturbance in a running fleet. */
final class DisturbanceSwitch {
    private final Fleet mFleet;
    private final FailureDomainName mFirstDomain;

    DisturbanceSwitch(Fleet fleet, FailureDomainName firstDomain) {
        mFleet = fleet;
        mFirstDomain = firstDomain;
    }

    void set(Disturbance disturbance, boolean on) {
        switch (disturbance) {
            case Disturbance.SlowStage slow ->
                    mFleet.endpoints().stream()
                            .filter(each -> isIn(each, slow.pool()))
                            .forEach(each -> each.setSlowFactor(on ? slow.factor() : 1));
            case Disturbance.SlowEndpoint slow ->
                    first(slow.pool()).setSlowFactor(on ? slow.factor() : 1);
            case Disturbance.FailingEndpoint failing -> first(failing.pool()).setFailing(on);
            case Disturbance.ColdDomain() -> {
                if (on) {
                    turnFirstDomainCold();
                }
            }
            case Disturbance.DomainMove() -> mFleet.setOutOfService(mFirstDomain, on);
            case Disturbance.PlatformAway() -> mFleet.platform().faults().setDown(on);
            case Disturbance.None _, Disturbance.Burst _ -> {
                // The fleet itself is not disturbed.
            }
        }
    }

    private static boolean isIn(FakeEndpoint endpoint, String pool) {
        return endpoint.configuration().pool().value().equals(pool);
    }

    private FakeEndpoint first(String pool) {
        return mFleet.endpoints().stream()
                .filter(each -> isIn(each, pool))
                .findFirst()
                .orElseThrow();
    }

    private void turnFirstDomainCold() {
        mFleet.endpoints().stream()
                .filter(each -> each.configuration().failureDomain().equals(mFirstDomain))
                .forEach(FakeEndpoint::turnCold);
    }
}
