package org.wasabilug.scenarios.internal.language;

import io.cucumber.java.en.When;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.clock.VirtualClock;
import org.wasabilug.scenarios.internal.fake.PlatformFaults;
import org.wasabilug.scenarios.internal.fleet.Fleet;
import org.wasabilug.scenarios.internal.history.HistoryEvent;

/** Steps that make the platform and the network fail. */
public final class PlatformSteps {
    private static final long LATE_COMMIT_MILLISECONDS = 2_500;
    private static final long PLATFORM_TIMEOUT_MILLISECONDS = 1_000;

    /** Creates the steps. */
    public PlatformSteps() {}

    private static ScenarioWorld world() {
        return CurrentScenario.world();
    }

    private static PlatformFaults faults() {
        return world().fleet().platform().faults();
    }

    /** Makes the platform unavailable until the scenario ends all failures. */
    @When("the platform goes down")
    public void platformDown() {
        PlatformFaults faults = faults();
        Fleet fleet = world().fleet();
        world().activeFailures()
                .begin(
                        "platform down",
                        () -> setPlatform(fleet, faults, true),
                        () -> setPlatform(fleet, faults, false));
    }

    private static void setPlatform(Fleet fleet, PlatformFaults faults, boolean down) {
        faults.setDown(down);
        recordPlatformCutEverywhere(fleet, down);
    }

    private static void recordPlatformCutEverywhere(Fleet fleet, boolean cut) {
        fleet.instances()
                .forEach(
                        process ->
                                fleet.history()
                                        .add(new HistoryEvent.PlatformCut(process.name(), cut)));
    }

    /**
     * Slows down the platform until the scenario ends all failures.
     *
     * @param milliseconds latency added to each response
     */
    @When("the platform answers {int} milliseconds late")
    public void platformSlow(int milliseconds) {
        addLatency(milliseconds);
    }

    /** Delays commits beyond the timeout of their callers until the scenario ends all failures. */
    @When("the platform commits after its callers gave up")
    public void lateCommits() {
        addLatency(LATE_COMMIT_MILLISECONDS);
    }

    private static void addLatency(long milliseconds) {
        PlatformFaults faults = faults();
        Fleet fleet = world().fleet();
        boolean unusable = milliseconds >= PLATFORM_TIMEOUT_MILLISECONDS;
        world().activeFailures()
                .begin(
                        "platform latency increased by " + milliseconds + " ms",
                        () -> {
                            faults.setExtraLatencyNanos(
                                    milliseconds * VirtualClock.MILLISECOND_NANOS);
                            recordPlatformCutEverywhere(fleet, unusable);
                        },
                        () -> {
                            faults.setExtraLatencyNanos(0);
                            recordPlatformCutEverywhere(fleet, false);
                        });
    }

    /**
     * Loses the responses of the next commits after the commits took effect.
     *
     * @param count number of responses
     */
    @When("the platform loses the next {int} answers")
    public void loseAnswers(int count) {
        PlatformFaults faults = faults();
        world().activeFailures()
                .begin(
                        "platform loses the next " + count + " answers",
                        () -> faults.loseNextAnswers(count),
                        () -> faults.loseNextAnswers(0));
    }

    /**
     * Cuts one instance off from the platform until the scenario ends all failures.
     *
     * @param name name of the instance
     */
    @When("instance {word} is cut off from the platform")
    public void cutFromPlatform(String name) {
        cutFromPlatform(world().instance(name));
    }

    /**
     * Cuts all instances of a failure domain off from the platform until the scenario ends all
     * failures.
     *
     * @param name name of the failure domain
     */
    @When("failure domain {word} is cut off from the platform")
    public void cutDomainFromPlatform(String name) {
        FailureDomainName domain = world().domain(name);
        world().shape()
                .instances()
                .forEach(
                        (instance, instanceDomain) -> {
                            if (instanceDomain.equals(domain)) {
                                cutFromPlatform(instance);
                            }
                        });
    }

    private static void cutFromPlatform(InstanceName instance) {
        PlatformFaults faults = faults();
        Fleet fleet = world().fleet();
        world().activeFailures()
                .begin(
                        instance + " cut off from the platform",
                        () -> setCutOff(fleet, faults, instance, true),
                        () -> setCutOff(fleet, faults, instance, false));
    }

    private static void setCutOff(
            Fleet fleet, PlatformFaults faults, InstanceName instance, boolean cut) {
        faults.setCutOff(instance, cut);
        fleet.history().add(new HistoryEvent.PlatformCut(instance, cut));
    }

    /**
     * Partitions the network between two failure domains until the scenario ends all failures.
     *
     * @param one name of a failure domain
     * @param other name of another failure domain
     */
    @When("failure domains {word} and {word} are cut off from each other")
    public void partition(String one, String other) {
        FailureDomainName first = world().domain(one);
        FailureDomainName second = world().domain(other);
        Fleet fleet = world().fleet();
        world().activeFailures()
                .begin(
                        one + " and " + other + " cut off from each other",
                        () -> fleet.setCut(first, second, true),
                        () -> fleet.setCut(first, second, false));
    }

    /**
     * Delays changes of the platform's instance list until the scenario ends all failures.
     *
     * @param seconds delay of each change
     */
    @When("the list of instances lags {int} seconds")
    public void lagList(int seconds) {
        Fleet fleet = world().fleet();
        long previous = fleet.platform().listLagNanos();
        world().activeFailures()
                .begin(
                        "instance list lags",
                        () -> fleet.platform().setListLagNanos(seconds * VirtualClock.SECOND_NANOS),
                        () -> fleet.platform().setListLagNanos(previous));
    }
}
