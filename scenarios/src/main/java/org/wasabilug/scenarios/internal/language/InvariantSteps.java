package org.wasabilug.scenarios.internal.language;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import java.util.List;
import java.util.Set;
import org.wasabilug.scenarios.internal.checker.Invariants;
import org.wasabilug.scenarios.internal.checker.Violation;

/** Steps that check the invariants against the history of the scenario. */
public final class InvariantSteps {
    /** Creates the steps. */
    public InvariantSteps() {}

    private static void assertHolds(String... invariants) {
        ScenarioWorld world = CurrentScenario.world();
        List<Violation> violations =
                new Invariants(world.shape().endpoints())
                        .check(world.fleet().history()).stream()
                                .filter(each -> Set.of(invariants).contains(each.invariant()))
                                .toList();
        assertThat(violations)
                .withFailMessage(() -> LanguageReporter.violations(violations))
                .isEmpty();
    }

    /** Checks WHOLE and LOST. */
    @Then("no stage result is lost, doubled or given to another request")
    public void resultsAreRight() {
        assertHolds("WHOLE", "LOST");
    }

    /** Checks COLD. */
    @Then("no endpoint in cold start is overloaded")
    public void coldStartsHold() {
        assertHolds("COLD");
    }

    /** Checks OUT. */
    @Then("a failure domain that was taken out gets no new work after 3 seconds")
    public void domainStaysOut() {
        assertHolds("OUT");
    }

    /** Checks WHOLE. */
    @Then("each caller with an answer has the whole answer to its own request")
    public void answersAreWhole() {
        assertHolds("WHOLE");
    }

    /** Checks NOT-RUN. */
    @Then("each refusal that says not run is true")
    public void refusalsAreTrue() {
        assertHolds("NOT-RUN");
    }

    /** Checks ONCE. */
    @Then("no request that may not be repeated runs twice")
    public void runsAtMostOnce() {
        assertHolds("ONCE");
    }

    /** Checks LEAVING. */
    @Then("a leaving endpoint gets no new work after 3 seconds")
    public void leavingEndpointGetsNoNewWork() {
        assertHolds("LEAVING");
    }

    /** Checks STOP. */
    @Then("no planned stop cuts a request")
    public void stopsCutNothing() {
        assertHolds("STOP");
    }

    /** Checks CONFIG. */
    @Then("no instance goes back to an older configuration")
    public void configurationNeverReverts() {
        assertHolds("CONFIG");
    }

    /** Checks POISON. */
    @Then("a request that crashed two endpoints reaches no third")
    public void crashingContentIsStopped() {
        assertHolds("POISON");
    }
}
