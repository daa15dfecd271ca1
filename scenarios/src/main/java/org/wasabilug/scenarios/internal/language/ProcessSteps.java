package org.wasabilug.scenarios.internal.language;

import io.cucumber.java.en.When;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.fleet.Fleet;

/** Steps that kill, pause and stop instance processes. */
public final class ProcessSteps {
    /** Creates the steps. */
    public ProcessSteps() {}

    /**
     * Kills a process, which restarts when the scenario ends all failures.
     *
     * @param name name of the instance
     */
    @When("instance {word} dies")
    public void kill(String name) {
        InstanceName instance = CurrentScenario.world().instance(name);
        Fleet fleet = CurrentScenario.world().fleet();
        if (fleet.instance(instance).isAlive()) {
            CurrentScenario.world()
                    .activeFailures()
                    .begin(
                            name + " dies",
                            () -> fleet.kill(instance),
                            () -> start(fleet, instance));
        }
    }

    private static void start(Fleet fleet, InstanceName instance) {
        if (!fleet.instance(instance).isAlive()) {
            fleet.startInstance(instance, fleet.instance(instance).failureDomain());
        }
    }

    /**
     * Pauses a process until the scenario ends all failures.
     *
     * @param name name of the instance
     */
    @When("instance {word} pauses")
    public void pause(String name) {
        InstanceName instance = CurrentScenario.world().instance(name);
        Fleet fleet = CurrentScenario.world().fleet();
        CurrentScenario.world()
                .activeFailures()
                .begin(
                        name + " pauses",
                        () -> fleet.setPaused(instance, true),
                        () -> fleet.setPaused(instance, false));
    }

    /**
     * Begins a planned stop of an instance.
     *
     * @param name name of the instance
     */
    @When("a planned stop of instance {word} begins")
    public void stop(String name) {
        InstanceName instance = CurrentScenario.world().instance(name);
        Fleet fleet = CurrentScenario.world().fleet();
        if (fleet.instance(instance).isAlive()) {
            fleet.stop(instance);
        }
    }

    /** Ends all failures begun by previous steps and restarts the processes that were killed. */
    @When("every failure ends")
    public void endFailures() {
        CurrentScenario.world().activeFailures().endAll();
    }
}
