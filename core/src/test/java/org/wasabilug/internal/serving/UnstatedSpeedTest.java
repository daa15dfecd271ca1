package org.wasabilug.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wasabilug.serving.ServiceSpecification;

/**
 * Guards services that do not state their speed against any change of their choices: each is
 * compared with the formulas in use before there were stated speeds.
 */
class UnstatedSpeedTest {
    private static final PromptSize PROMPT = PromptSize.of(1_700, 100, List.of());
    private static final long NOW = 20_000;

    private final Random mRandom = new Random(2);
    private final ServiceSpeeds mSpeeds = new ServiceSpeeds();
    private final EndpointSelector mSelector =
            new EndpointSelector(
                    new ColdLimits(1.5, 5),
                    new BrittleServices(),
                    new PrefixCacheEstimator(),
                    mSpeeds);

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void everyChoiceIsAsBefore(boolean engines) {
        ServiceSpecification service = engines ? ServingFixtures.engines(0) : calls();
        SelectionRequest request =
                new SelectionRequest(
                        service,
                        Set.of(),
                        Optional.empty(),
                        "rennes",
                        false,
                        PROMPT,
                        new FleetView("instance", 1, 1, 0));
        for (int choice = 0; choice < 2_000; choice++) {
            List<EndpointState> endpoints = endpoints();
            EndpointState best = endpoints.getFirst();
            for (EndpointState each : endpoints) {
                best = cost(each, engines) < cost(best, engines) ? each : best;
            }

            Selection.Chosen chosen = (Selection.Chosen) mSelector.choose(request, endpoints, NOW);
            assertThat(chosen.endpoint()).isSameAs(best);
            assertThat(chosen.costMillis()).isEqualTo(cost(best, engines));
        }
    }

    private static ServiceSpecification calls() {
        return new ServiceSpecification(
                "service", "/health", 100, 0, 0, Optional.empty(), Optional.empty());
    }

    /** Endpoints with random histories; they state loads without a speed, and peers report. */
    private List<EndpointState> endpoints() {
        List<EndpointState> endpoints = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            String domain = mRandom.nextBoolean() ? "rennes" : "brest";
            EndpointState endpoint = ServingFixtures.endpoint("e" + index, domain);
            int running = mRandom.nextInt(70);
            endpoint.recordSent(new EndpointLoad(running, 900L * running, 300L * running), 0);
            endpoint.health().recordSuccess(mRandom.nextInt(50));
            endpoint.health().recordLatencyRatio(3 * mRandom.nextDouble(), NOW);
            mSpeeds.recordStated(endpoint, new ServerLoad(90, 9, 64, 0), NOW);
            mSpeeds.recordElapsed(endpoint, mSpeeds.predict(endpoint, 100, 0), 900, NOW);
            mSpeeds.recordReport(
                    endpoint,
                    "peer",
                    new EndpointSpeed.Observation(Optional.empty(), NOW, 5, 100),
                    NOW);
            endpoints.add(endpoint);
        }
        return endpoints;
    }

    private static double cost(EndpointState endpoint, boolean engine) {
        double work = engine ? engineMillis(endpoint) : callMillis(endpoint);
        double penalty = endpoint.health().failureShare() * 1_500;
        boolean remote = !endpoint.registration().failureDomain().equals("rennes");
        return work + (remote ? penalty + 3 : penalty) + 0.0;
    }

    private static double engineMillis(EndpointState endpoint) {
        EndpointLoad load = endpoint.load();
        double millis = (load.unreadTokens() + PROMPT.promptTokens()) / 25.0;
        millis += 25;
        millis += load.running() * 2.0;
        double usable = 0.85 * 100_000;
        double needed = load.tokens() + PROMPT.load().tokens();
        if (needed > usable) {
            millis += 2_000.0 * (needed - usable) / usable;
        }
        if (load.running() >= 64) {
            millis += 2_000.0;
        }
        return millis * endpoint.health().slowness(NOW);
    }

    private static double callMillis(EndpointState endpoint) {
        int running = endpoint.load().running();
        double waiting = Math.max(0, running + 1 - 2) / 2.0;
        return endpoint.health().latencyMillis() * (1 + waiting) + running / 2.0;
    }
}
