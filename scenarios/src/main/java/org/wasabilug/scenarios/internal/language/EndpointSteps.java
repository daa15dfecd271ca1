package org.wasabilug.scenarios.internal.language;

import io.cucumber.java.en.When;
import java.util.List;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.PoolName;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;

/** Steps that slow down endpoints, make them fail, restart them or mark them as leaving. */
public final class EndpointSteps {
    /** Creates the steps. */
    public EndpointSteps() {}

    private static ScenarioWorld world() {
        return CurrentScenario.world();
    }

    /**
     * Slows down an endpoint until the scenario ends all failures.
     *
     * @param name name of the endpoint
     * @param factor factor by which calls take longer
     */
    @When("endpoint {word} is {int} times slower")
    public void slowEndpoint(String name, int factor) {
        slow(name, List.of(world().endpoint(name)), factor);
    }

    /**
     * Slows down all endpoints of a pool until the scenario ends all failures.
     *
     * @param pool name of the pool
     * @param factor factor by which calls take longer
     */
    @When("every endpoint of pool {word} is {int} times slower")
    public void slowPool(String pool, int factor) {
        slow(pool, endpointsOf(pool), factor);
    }

    private static List<FakeEndpoint> endpointsOf(String pool) {
        PoolName name = new PoolName(pool);
        if (!world().shape().profiles().containsKey(name)) {
            throw LanguageReporter.unknown("pool", pool, world().shape().profiles().keySet());
        }
        return world().fleet().endpoints().stream()
                .filter(each -> each.configuration().pool().equals(name))
                .toList();
    }

    private static void slow(String what, List<FakeEndpoint> endpoints, int factor) {
        world().activeFailures()
                .begin(
                        what + " " + factor + " times slower",
                        () -> endpoints.forEach(each -> each.setSlowFactor(factor)),
                        () -> endpoints.forEach(each -> each.setSlowFactor(1)));
    }

    /**
     * Makes every call at an endpoint fail until the scenario ends all failures.
     *
     * @param name name of the endpoint
     */
    @When("endpoint {word} fails every call")
    public void fail(String name) {
        FakeEndpoint endpoint = world().endpoint(name);
        world().activeFailures()
                .begin(
                        name + " fails every call",
                        () -> endpoint.setFailing(true),
                        () -> endpoint.setFailing(false));
    }

    /**
     * Restarts an endpoint without notice; it is in cold start afterwards.
     *
     * @param name name of the endpoint
     */
    @When("endpoint {word} turns cold")
    public void turnCold(String name) {
        world().endpoint(name).turnCold();
    }

    /**
     * Marks an endpoint as leaving in the platform's list.
     *
     * @param name name of the endpoint
     */
    @When("endpoint {word} is leaving")
    public void leave(String name) {
        EndpointName endpoint = world().endpoint(name).configuration().name();
        world().fleet().listAsLeaving(endpoint);
    }
}
