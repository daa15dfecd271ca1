package org.wasabilug.scenarios.internal.language;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.PipelineName;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** Steps that submit requests and advance virtual time. */
public final class TrafficSteps {
    private static final int AT_MOST_ONCE_INTERVAL = 3;
    private static final int RESUBMIT_INTERVAL = 7;
    private static final long RESUBMIT_DELAY_MILLISECONDS = 1_500;
    private static final long CRASHING_INTERVAL_MILLISECONDS = 1_200;
    private static final int MILLISECONDS_PER_SECOND = 1_000;

    /** Creates the steps. */
    public TrafficSteps() {}

    private static ScenarioWorld world() {
        return CurrentScenario.world();
    }

    /**
     * Submits requests to both pipelines at a constant rate.
     *
     * @param rate requests per second
     * @param seconds duration in seconds
     */
    @Given("{int} requests a second arrive for {int} seconds")
    public void arriveOverBoth(int rate, int seconds) {
        ScenarioWorld world = world();
        for (int index = 0; index < rate * seconds; index++) {
            PipelineName pipeline =
                    index % AT_MOST_ONCE_INTERVAL == 0
                            ? FleetShape.TRANSFERS
                            : FleetShape.CERTIFICATES;
            boolean resubmit = index % RESUBMIT_INTERVAL == 0;
            world.afterMilliseconds(
                    (long) index * MILLISECONDS_PER_SECOND / rate,
                    () -> send(world, pipeline, resubmit));
        }
    }

    /**
     * Submits requests to one pipeline at a constant rate.
     *
     * @param rate requests per second
     * @param seconds duration in seconds
     * @param pipeline name of the pipeline
     */
    @Given("{int} requests a second arrive for {int} seconds over pipeline {word}")
    public void arrive(int rate, int seconds, String pipeline) {
        ScenarioWorld world = world();
        for (int index = 0; index < rate * seconds; index++) {
            world.afterMilliseconds(
                    (long) index * MILLISECONDS_PER_SECOND / rate,
                    () -> send(world, new PipelineName(pipeline), false));
        }
    }

    /** Submits a request, optionally twice if keyed, like a caller that lost its connection. */
    private static void send(ScenarioWorld world, PipelineName pipeline, boolean resubmit) {
        CallerRequest request = world.newRequest(pipeline);
        world.submit(request);
        if (resubmit && request.idempotencyKey().isPresent()) {
            world.afterMilliseconds(RESUBMIT_DELAY_MILLISECONDS, () -> world.submit(request));
        }
    }

    /**
     * Submits requests all at the same time.
     *
     * @param count number of requests
     */
    @When("a burst of {int} requests arrives")
    public void burst(int count) {
        for (int index = 0; index < count; index++) {
            send(
                    world(),
                    index % AT_MOST_ONCE_INTERVAL == 0
                            ? FleetShape.TRANSFERS
                            : FleetShape.CERTIFICATES,
                    false);
        }
    }

    /**
     * Submits content that crashes endpoints, each time under a new request id.
     *
     * @param times number of requests
     */
    @When("a request that crashes each endpoint is sent {int} times")
    public void sendCrashing(int times) {
        ScenarioWorld world = world();
        String content = FakeEndpoint.POISON + "-" + world.fleet().clock().nowNanos();
        for (int index = 0; index < times; index++) {
            world.afterMilliseconds(
                    index * CRASHING_INTERVAL_MILLISECONDS,
                    () -> world.submit(world.newRequest(FleetShape.CERTIFICATES, content)));
        }
    }

    /**
     * Advances virtual time.
     *
     * @param seconds duration in seconds
     */
    @When("{int} second(s) pass(es)")
    public void pass(int seconds) {
        world().fleet().runMilliseconds((long) seconds * MILLISECONDS_PER_SECOND);
    }
}
