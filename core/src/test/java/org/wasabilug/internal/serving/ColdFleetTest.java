package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Cold endpoints of a fleet in which every instance has requests for them all the time. */
class ColdFleetTest {
    private static final ColdLimits LIMITS = new ColdLimits(1.5, 5);
    private static final double COLD_PER_SECOND = 8.2;

    /** The rule allows 17.3 in one second. */
    private static final int ALLOWED = 17;

    private static final int ENDPOINTS = 40;
    private static final long DURATION_MILLIS = 3_000;

    private static String name(int number) {
        return "gateway-" + number;
    }

    private static Set<String> names(int instances) {
        return IntStream.range(0, instances)
                .mapToObj(ColdFleetTest::name)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns the largest number of requests that reach an endpoint in one second. */
    private static long mostInASecond(String endpoint, List<FleetView> fleet) {
        List<Long> arrivals = new ArrayList<>();
        for (int number = 0; number < fleet.size(); number++) {
            arrivals.addAll(sends(endpoint, fleet.get(number), number % 50));
        }
        return arrivals.stream()
                .mapToLong(
                        start ->
                                arrivals.stream()
                                        .filter(each -> each >= start && each < start + 1_000)
                                        .count())
                .max()
                .orElse(0);
    }

    private static List<Long> sends(String endpoint, FleetView view, long startMillis) {
        EndpointState cold = ServingFixtures.endpoint(endpoint, "rennes");
        cold.recordColdTime(2 * DURATION_MILLIS, 0);
        EndpointSelector selector =
                new EndpointSelector(LIMITS, new BrittleServices(), new PrefixCacheEstimator());
        List<Long> sends = new ArrayList<>();
        for (long now = startMillis; now < DURATION_MILLIS; now += 50) {
            if (selector.choose(request(view), List.of(cold), now) instanceof Selection.Chosen) {
                cold.recordSent(EndpointLoad.NONE, now);
                sends.add(now);
            }
        }
        return sends;
    }

    private static SelectionRequest request(FleetView view) {
        return new SelectionRequest(
                ServingFixtures.engines(COLD_PER_SECOND),
                Set.of(),
                Optional.empty(),
                "rennes",
                false,
                PromptSize.NONE,
                view);
    }

    private static List<FleetView> fleet(int instances, IntFunction<FleetView> view) {
        return IntStream.range(0, instances).mapToObj(view).toList();
    }

    private static void assertWithinLimit(List<FleetView> fleet, long atLeast) {
        assertThat(IntStream.range(0, ENDPOINTS))
                .extracting(number -> mostInASecond("ledger-" + number, fleet))
                .allMatch(most -> most >= atLeast && most <= ALLOWED);
    }

    /** Guards against a share of at least one for each instance of a large fleet. */
    @ParameterizedTest
    @ValueSource(ints = {1, 16, 17, 18, 62, 95, 450})
    void partsThatDoNotHearEachOtherTogetherKeepTheLimit(int instances) {
        Set<String> names = names(instances);
        Set<String> half = names(instances / 2);
        Set<String> rest = new TreeSet<>(names);
        rest.removeAll(half);

        List<FleetView> fleet =
                fleet(
                        instances,
                        number -> {
                            String name = name(number);
                            Set<String> heard = new TreeSet<>(half.contains(name) ? half : rest);
                            heard.remove(name);
                            return FleetView.of(name, names, heard);
                        });

        assertWithinLimit(fleet, 12);
    }

    /** Guards against a limit that is exceeded as soon as two instances join. */
    @ParameterizedTest
    @ValueSource(ints = {62, 95, 450})
    void instancesThatDoNotKnowTheTwoNewestKeepTheLimit(int instances) {
        Set<String> older = names(instances - 2);
        Set<String> all = names(instances);

        assertWithinLimit(
                fleet(
                        instances,
                        number ->
                                FleetView.of(
                                        name(number),
                                        number < older.size() ? older : all,
                                        List.of())),
                12);
    }

    /** Guards against a share of at least one for each instance that does not know its fleet. */
    @ParameterizedTest
    @ValueSource(ints = {62, 95})
    void instancesThatDoNotKnowTheirFleetKeepTheLimitAndServeMostEndpoints(int instances) {
        List<FleetView> fleet =
                fleet(instances, number -> FleetView.ofUnknownFleet(name(number), List.of()));

        assertWithinLimit(fleet, 0);
        assertThat(IntStream.range(0, ENDPOINTS))
                .filteredOn(number -> mostInASecond("ledger-" + number, fleet) > 0)
                .hasSizeGreaterThan(ENDPOINTS / 2);
    }

    /** Guards against instances that may send to no cold endpoint of a service. */
    @Test
    void almostAllInstancesMaySendToSomeOfTwelveColdEndpoints() {
        Set<String> names = names(62);
        long refusing =
                fleet(62, number -> FleetView.of(name(number), names, List.of())).stream()
                        .filter(
                                view ->
                                        IntStream.range(0, 12)
                                                .allMatch(
                                                        number ->
                                                                sends("ledger-" + number, view, 0)
                                                                        .isEmpty()))
                        .count();

        assertThat(refusing).isLessThanOrEqualTo(6);
    }
}
