package org.wasabilug.scenarios.internal.language;

import io.cucumber.java.en.Given;
import org.wasabilug.scenarios.internal.fleet.FleetShape;

/** Steps that start a deployment. */
public final class DeploymentSteps {
    /** Creates the steps. */
    public DeploymentSteps() {}

    /** Starts Frigoval's deployment. */
    @Given("the Frigoval deployment")
    public void startFrigoval() {
        CurrentScenario.begin(FleetShape.frigoval());
    }

    /** Starts Serrano's deployment. */
    @Given("the Serrano deployment")
    public void startSerrano() {
        CurrentScenario.begin(FleetShape.serrano());
    }
}
