package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SharedLimitsTest {
    private static final RetryLimits RETRIES = new RetryLimits(0.2, 52, 10_000);

    @Property(tries = 200)
    void instancesThatCannotReachEachOtherKeepTheCommonRetryLimit(
            @ForAll @IntRange(min = 1, max = 70) int instances,
            @ForAll @IntRange(min = 0, max = 400) int requests) {
        int retries = 0;
        for (int instance = 0; instance < instances; instance++) {
            RetryBudget budget = new RetryBudget(RETRIES);
            budget.openReserve(0);
            for (int request = 0; request < requests; request++) {
                budget.recordFirstAttempt("service", request);
            }
            while (budget.tryReserve("service", 1, instances, 500).granted()) {
                retries++;
            }
        }
        assertThat((double) retries).isLessThanOrEqualTo(0.2 * requests * instances + 52);
    }

    @Test
    void retriesAreAvailableAgainWhenTheWindowHasPassed() {
        RetryBudget budget = new RetryBudget(new RetryLimits(0, 2, 1_000));
        budget.openReserve(0);

        budget.tryReserve("service", 1, 1, 0).permits().getFirst().use(0);
        assertThat(budget.tryReserve("service", 1, 1, 500).granted()).isFalse();
        assertThat(budget.tryReserve("service", 1, 1, 1_001).granted()).isTrue();
    }

    @Test
    void theReserveIsNotUsedBeforeItIsOpen() {
        RetryBudget budget = new RetryBudget(new RetryLimits(0, 2, 1_000));

        assertThat(budget.tryReserve("service", 1, 1, 0).granted()).isFalse();
        budget.openReserve(1_000);
        assertThat(budget.tryReserve("service", 1, 1, 999).granted()).isFalse();
        assertThat(budget.tryReserve("service", 1, 1, 1_000).granted()).isTrue();
    }

    @Property(tries = 200)
    void sharesOfAColdEndpointsLimitAddUpToAtMostTheLimit(
            @ForAll @IntRange(min = 1, max = 17) int instances) {
        ColdLimits limits = new ColdLimits(1.5, 5);

        assertThat(instances * limits.share(8.2, instances)).isLessThanOrEqualTo(17);
    }

    @Test
    void aColdEndpointReceivesAtMostTheShareInAnySecond() {
        EndpointSelector selector =
                new EndpointSelector(
                        new ColdLimits(1.5, 5), new BrittleServices(), new PrefixCacheEstimator());
        EndpointState cold = ServingFixtures.endpoint("cold", "rennes");
        cold.recordColdTime(5_000, 0);
        SelectionRequest request =
                new SelectionRequest(
                        ServingFixtures.engines(8.2),
                        java.util.Set.of(),
                        java.util.Optional.empty(),
                        "rennes",
                        false,
                        PromptSize.NONE,
                        new FleetView("instance", 6, 6, 0));
        List<Long> sends = new ArrayList<>();
        for (long now = 0; now < 4_000; now += 10) {
            if (selector.choose(request, List.of(cold), now) instanceof Selection.Chosen) {
                cold.recordSent(EndpointLoad.NONE, now);
                sends.add(now);
            }
        }

        for (long start : sends) {
            long inSecond =
                    sends.stream().filter(each -> each >= start && each < start + 1_000).count();
            assertThat(inSecond).isLessThanOrEqualTo(2);
        }
    }
}
