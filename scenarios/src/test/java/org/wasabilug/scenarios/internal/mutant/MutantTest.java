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
import org.wasabilug.scenarios.internal.fleet.InstanceProcess;
import org.wasabilug.scenarios.internal.language.ScenarioWorld;

class MutantTest {
    private static final long SEED = 1;
    private static final int REQUESTS = 400;
    private static final long ARRIVAL_INTERVAL_MILLISECONDS = 25;
    private static final int TRIGGER_INDEX = 80;
    private static final int CRASHING_REQUESTS = 4;
    private static final long CRASHING_INTERVAL_NANOS = 2 * VirtualClock.SECOND_NANOS;
    private static final long SETTLE_MILLISECONDS = 20_000;
    private static final String GENERATOR = "brest-generators-1";

    private record Case(String invariant, Supplier<Mutant> mutant, Consumer<Fleet> trigger) {
        @Override
        public String toString() {
            return invariant;
        }
    }

    private static Stream<Case> cases() {
        return Stream.of(
                new Case("WHOLE", Mutants::duplicatesResults, fleet -> {}),
                new Case("LOST", Mutants::dropsCompletions, fleet -> {}),
                new Case("COLD", Mutants::treatsColdAsWarm, MutantTest::turnCold),
                new Case("OUT", MutantTest::routesToBrest, MutantTest::takeBrestOut),
                new Case("LEAVING", Mutants::ignoresLeaving, MutantTest::leave),
                new Case("NOT-RUN", Mutants::refusesAsNotRun, MutantTest::platformDown),
                new Case("ONCE", Mutants::repeatsAtMostOnceStages, fleet -> {}),
                new Case("STOP", Mutants::stopsWithoutDraining, MutantTest::stop),
                new Case("CONFIG", Mutants::revertsConfiguration, MutantTest::takeBrestOut),
                new Case("POISON", Mutants::hidesLostConnections, MutantTest::crash));
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
        for (int index = 0; index < CRASHING_REQUESTS; index++) {
            InstanceName name = new InstanceName("entry-" + index);
            CallerRequest request =
                    FleetShape.frigoval()
                            .request(
                                    "crashing-" + index,
                                    FleetShape.CERTIFICATES,
                                    0,
                                    FakeEndpoint.POISON + "-1",
                                    false);
            fleet.clock().after(index * CRASHING_INTERVAL_NANOS, () -> fleet.submit(name, request));
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    void checkerDetectsItsMutant(Case mutantCase) {
        assertThat(violated(MutantCore.with(mutantCase.mutant()), mutantCase.trigger()))
                .contains(mutantCase.invariant());
    }

    @ParameterizedTest
    @MethodSource("cases")
    void unmodifiedCorePassesTheSameScenario(Case mutantCase) {
        assertThat(violated(ScenarioWorld.CORES, mutantCase.trigger())).isEmpty();
    }

    private static Set<String> violated(CoreFactory cores, Consumer<Fleet> trigger) {
        FleetShape shape = FleetShape.frigoval();
        Fleet fleet = new Fleet(shape, cores, SEED);
        fleet.start();
        for (int index = 0; index < REQUESTS; index++) {
            if (index == TRIGGER_INDEX) {
                trigger.accept(fleet);
            }
            submit(fleet, shape, index);
            fleet.runMilliseconds(ARRIVAL_INTERVAL_MILLISECONDS);
        }
        fleet.runMilliseconds(SETTLE_MILLISECONDS);
        return new Invariants(shape.endpoints())
                .check(fleet.history()).stream()
                        .map(Violation::invariant)
                        .collect(Collectors.toSet());
    }

    private static void submit(Fleet fleet, FleetShape shape, int index) {
        List<InstanceProcess> alive =
                fleet.instances().stream().filter(InstanceProcess::isAlive).toList();
        boolean atMostOnce = index % 3 == 0;
        fleet.submit(
                alive.get(index % alive.size()).name(),
                shape.request(
                        "r" + index,
                        atMostOnce ? FleetShape.TRANSFERS : FleetShape.CERTIFICATES,
                        index,
                        "cold room " + index,
                        atMostOnce));
    }
}
