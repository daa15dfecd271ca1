package org.wasabilug.scenarios.internal.language;

import io.cucumber.java.en.When;
import org.wasabilug.model.InstanceName;
import org.wasabilug.scenarios.internal.fleet.Fleet;

/** Steps in which processes of ours die, pause and stop. */
public final class ProcessSteps {
    /** Creates the steps. */
    public ProcessSteps() {}

    /**
     * Kills a process; it starts again once every failure ends.
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
     * Pauses a process until every failure ends.
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
     * Begins a planned stop.
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

    /** Ends every failure that a step began and starts what has died. */
    @When("every failure ends")
    public void endFailures() {
        CurrentScenario.world().activeFailures().endAll();
    }
}
