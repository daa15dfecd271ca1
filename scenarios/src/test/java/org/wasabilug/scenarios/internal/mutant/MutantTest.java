package org.wasabilug.scenarios.internal.mutant;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.checker.Invariants;
import org.wasabilug.scenarios.internal.checker.Violation;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fleet.CoreFactory;
import org.wasabilug.scenarios.internal.fleet.Fleet;
import org.wasabilug.scenarios.internal.fleet.FleetShape;
import org.wasabilug.scenarios.internal.fleet.InstanceLife;
import org.wasabilug.scenarios.internal.language.ScenarioWorld;

class MutantTest {
    private static final long SEED = 1;
    private static final int REQUESTS = 400;
    private static final long GAP_MILLISECONDS = 25;
    private static final int MIDDLE = 80;
    private static final int CRASHING_TIMES = 4;
    private static final long CRASHING_GAP_NANOS = 2 * VirtualClock.SECOND_NANOS;
    private static final long SETTLING_MILLISECONDS = 20_000;
    private static final String GENERATOR = "brest-generators-1";

    private record Case(String invariant, Supplier<Mutant> mutant, Consumer<Fleet> trigger) {
        @Override
        public String toString() {
            return invariant;
        }
    }

    private static Stream<Case> cases() {
        return Stream.of(
                new Case("WHOLE", Mutants::doublesResults, fleet -> {}),
                new Case("LOST", Mutants::forgetsTheEnd, fleet -> {}),
                new Case("COLD", Mutants::takesColdForWarm, MutantTest::turnCold),
                new Case("OUT", MutantTest::routesToBrest, MutantTest::takeBrestOut),
                new Case("LEAVING", Mutants::ignoresLeaving, MutantTest::leave),
                new Case("NOT-RUN", Mutants::alwaysSaysNotRun, MutantTest::platformDown),
                new Case("ONCE", Mutants::repeatsWhatMayNotBeRepeated, fleet -> {}),
                new Case("STOP", Mutants::stopsAtOnce, MutantTest::stop),
                new Case("CONFIG", Mutants::revertsConfiguration, MutantTest::takeBrestOut),
                new Case("POISON", Mutants::neverSuspectsContent, MutantTest::crash));
    }

    private static Mutant routesToBrest() {
        Endpoint endpoint =
                FleetShape.frigoval().endpoints().stream()
                        .filter(each -> each.name().value().equals(GENERATOR))
                        .findFirst()
                        .orElseThrow();
        return Mutants.routesTo("generators", endpoint.name(), endpoint.address());
    }

    private static void turnCold(Fleet fleet) {
        fleet.endpoint(new EndpointName(GENERATOR)).turnCold();
    }

    private static void takeBrestOut(Fleet fleet) {
        fleet.setOutOfService(new FailureDomainName("brest"), true);
    }

    private static void leave(Fleet fleet) {
        fleet.listAsLeaving(new EndpointName(GENERATOR));
    }

    private static void platformDown(Fleet fleet) {
        fleet.platform().faults().setDown(true);
    }

    private static void stop(Fleet fleet) {
        fleet.stop(new InstanceName("entry-1"));
    }

    private static void crash(Fleet fleet) {
        for (int index = 0; index < CRASHING_TIMES; index++) {
            InstanceName name = new InstanceName("entry-" + index);
            CallerRequest request =
                    FleetShape.frigoval()
                            .request(
                                    "crashing-" + index,
                                    FleetShape.CERTIFICATES,
                                    0,
                                    FakeEndpoint.POISON + "-1",
                                    false);
            fleet.clock().after(index * CRASHING_GAP_NANOS, () -> fleet.submit(name, request));
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    void checkerCatchesItsMutant(Case each) {
        assertThat(violated(MutantCore.with(each.mutant()), each.trigger()))
                .contains(each.invariant());
    }

    @ParameterizedTest
    @MethodSource("cases")
    void productPassesTheSameScenario(Case each) {
        assertThat(violated(ScenarioWorld.CORES, each.trigger())).isEmpty();
    }

    private static Set<String> violated(CoreFactory cores, Consumer<Fleet> trigger) {
        FleetShape shape = FleetShape.frigoval();
        Fleet fleet = new Fleet(shape, cores, SEED);
        fleet.start();
        for (int index = 0; index < REQUESTS; index++) {
            if (index == MIDDLE) {
                trigger.accept(fleet);
            }
            submit(fleet, shape, index);
            fleet.runMilliseconds(GAP_MILLISECONDS);
        }
        fleet.runMilliseconds(SETTLING_MILLISECONDS);
        return new Invariants(shape.endpoints())
                .check(fleet.history()).stream()
                        .map(Violation::invariant)
                        .collect(Collectors.toSet());
    }

    private static void submit(Fleet fleet, FleetShape shape, int index) {
        List<InstanceLife> alive =
                fleet.instances().stream().filter(InstanceLife::isAlive).toList();
        boolean once = index % 3 == 0;
        fleet.submit(
                alive.get(index % alive.size()).name(),
                shape.request(
                        "r" + index,
                        once ? FleetShape.TRANSFERS : FleetShape.CERTIFICATES,
                        index,
                        "cold room " + index,
                        once));
    }
}
