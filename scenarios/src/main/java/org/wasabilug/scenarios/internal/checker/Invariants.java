package org.wasabilug.scenarios.internal.checker;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.scenarios.internal.history.History;

/** Checkers of all invariants of the system. */
public final class Invariants {
    private final List<InvariantChecker> mCheckers;

    /**
     * Creates the checkers for a deployment.
     *
     * @param endpoints all endpoints of the deployment
     */
    public Invariants(List<Endpoint> endpoints) {
        Map<String, FailureDomainName> domains = new HashMap<>();
        endpoints.forEach(each -> domains.put(each.name().value(), each.failureDomain()));
        mCheckers =
                List.of(
                        new WholeAnswerChecker(),
                        new EveryRequestEndsChecker(),
                        new ColdStartChecker(),
                        new DomainOutChecker(domains),
                        new LeavingChecker(),
                        new NotRunChecker(),
                        new AtMostOnceChecker(),
                        new PlannedStopChecker(),
                        new ConfigurationChecker(),
                        new PoisonChecker());
    }

    /**
     * Checks a history against all invariants.
     *
     * @param history the history
     * @return all violations; empty if every invariant holds
     */
    public List<Violation> check(History history) {
        return mCheckers.stream().flatMap(checker -> checker.check(history).stream()).toList();
    }
}
