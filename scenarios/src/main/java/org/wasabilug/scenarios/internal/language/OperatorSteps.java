package org.wasabilug.scenarios.internal.language;

import io.cucumber.java.en.When;
import java.util.List;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Workspace;
import org.wasabilug.scenarios.internal.fleet.InstanceProcess;

/** Steps that change the configuration as operators do. */
public final class OperatorSteps {
    private static final int FIRST_LIMIT = 1_000;
    private static final int SECOND_LIMIT = 2_000;

    /** Creates the steps. */
    public OperatorSteps() {}

    private static ScenarioWorld world() {
        return CurrentScenario.world();
    }

    /**
     * Takes a failure domain out of service.
     *
     * @param name name of the failure domain
     */
    @When("failure domain {word} is taken out")
    public void takeOut(String name) {
        world().fleet().setOutOfService(world().domain(name), true);
    }

    /**
     * Returns a failure domain to service.
     *
     * @param name name of the failure domain
     */
    @When("failure domain {word} is brought back")
    public void bringBack(String name) {
        world().fleet().setOutOfService(world().domain(name), false);
    }

    /** Submits a change of a workspace. */
    @When("an operator changes a workspace")
    public void changeWorkspace() {
        world().fleet().submitTicket(runningInstances().getFirst(), change(FIRST_LIMIT));
    }

    /** Submits conflicting changes of a workspace to two instances at the same time. */
    @When("two operators race with changes of the same workspace")
    public void race() {
        List<InstanceProcess> running = runningInstances();
        world().fleet().submitTicket(running.getLast(), change(FIRST_LIMIT));
        world().fleet().submitTicket(running.getFirst(), change(SECOND_LIMIT));
    }

    private static List<InstanceProcess> runningInstances() {
        return world().fleet().instances().stream().filter(InstanceProcess::isAlive).toList();
    }

    private static List<ConfigurationObject> change(int limit) {
        Workspace workspace = world().shape().workspaces().getFirst();
        return List.of(workspace.toBuilder().concurrentRequests(limit).build());
    }
}
