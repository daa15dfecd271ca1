package org.wasabilug.scenarios.internal.language;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.PipelineName;
import org.wasabilug.scenarios.internal.fake.FakeEndpoint;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** Steps in which callers send requests and time passes. */
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
     * Lets requests arrive at an even rate over both pipelines.
     *
     * @param rate requests a second
     * @param seconds for how long
     */
    @Given("{int} requests a second arrive for {int} seconds")
    public void arriveOverBoth(int rate, int seconds) {
        ScenarioWorld world = world();
        for (int index = 0; index < rate * seconds; index++) {
            PipelineName pipeline =
                    index % AT_MOST_ONCE_INTERVAL == 0
                            ? FleetShape.TRANSFERS
                            : FleetShape.CERTIFICATES;
            boolean again = index % RESUBMIT_INTERVAL == 0;
            world.afterMilliseconds(
                    (long) index * MILLISECONDS_PER_SECOND / rate,
                    () -> send(world, pipeline, again));
        }
    }

    /**
     * Lets requests arrive at an even rate over one pipeline.
     *
     * @param rate requests a second
     * @param seconds for how long
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

    /** A keyed request may be sent again, as a caller does that has lost its connection. */
    private static void send(ScenarioWorld world, PipelineName pipeline, boolean again) {
        CallerRequest request = world.newRequest(pipeline);
        world.submit(request);
        if (again && request.idempotencyKey().isPresent()) {
            world.afterMilliseconds(RESUBMIT_DELAY_MILLISECONDS, () -> world.submit(request));
        }
    }

    /**
     * Lets requests arrive all at once.
     *
     * @param count how many
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
     * Lets a caller send content that crashes each endpoint, under a new id each time.
     *
     * @param times how often
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
     * Lets time pass.
     *
     * @param seconds how long
     */
    @When("{int} second(s) pass(es)")
    public void pass(int seconds) {
        world().fleet().runMilliseconds((long) seconds * MILLISECONDS_PER_SECOND);
    }
}
