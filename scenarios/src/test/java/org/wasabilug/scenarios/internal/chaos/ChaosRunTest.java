package org.wasabilug.scenarios.internal.chaos;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.instance.InstanceCore;
import org.wasabilug.internal.instance.InstanceSettings;
import org.wasabilug.scenarios.internal.checker.Violation;
import org.wasabilug.scenarios.internal.fleet.CoreFactory;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

class ChaosRunTest {
    private static final long FIRST_SEED = setting("WASABILUG_SEED", 1);
    private static final long SEEDS = setting("WASABILUG_SEEDS", 40);
    private static final CoreFactory CORES =
            (name, domain, incarnation, seed) ->
                    new InstanceCore(
                            InstanceSettings.builder()
                                    .name(name)
                                    .failureDomain(domain)
                                    .incarnation(incarnation)
                                    .seed(seed)
                                    .build());

    private static long setting(String name, long defaultValue) {
        String value = System.getenv(name);
        return value == null ? defaultValue : Long.parseLong(value);
    }

    @Test
    void everyInvariantHoldsUnderRandomFaults() {
        List<String> failures =
                LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                        .parallel()
                        .mapToObj(ChaosRunTest::failuresOf)
                        .flatMap(List::stream)
                        .toList();

        assertThat(failures).isEmpty();
    }

    private static List<String> failuresOf(long seed) {
        FleetShape shape = seed % 2 == 0 ? FleetShape.frigoval() : FleetShape.serrano();
        List<String> failures = new ArrayList<>();
        for (Violation violation : new ChaosRun(shape, CORES, seed).run()) {
            failures.add("seed " + seed + ": " + violation);
        }
        return failures;
    }
}
