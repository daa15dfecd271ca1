package org.wasabilug.internal.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Explains which endpoint an {@link EndpointSelector} would choose, without sending or reserving
 * anything. Where shared speeds are in use, predictions hold a random part, so the chosen endpoint
 * need not have the lowest one shown.
 *
 * <p>The limits on rejections of brittle endpoints are left out, as asking for them starts their
 * schedule of sends.
 */
public final class SelectionExplainer {
    private final EndpointSelector mSelector;

    /**
     * Creates an explainer.
     *
     * @param selector the selector whose choice is explained
     */
    public SelectionExplainer(EndpointSelector selector) {
        mSelector = selector;
    }

    /**
     * What the selector makes of one endpoint.
     *
     * @param endpoint the endpoint
     * @param costMillis predicted time to the first event or response, including penalties
     * @param refusal why the endpoint may not be chosen; empty if it may
     * @param chosen whether it would be chosen
     */
    public record Assessment(
            EndpointState endpoint, double costMillis, Optional<String> refusal, boolean chosen) {}

    /**
     * Assesses the endpoints among which the selector would choose.
     *
     * @param request the request that would run
     * @param usable endpoints of the service that may receive requests
     * @param nowMillis current monotonic time, in milliseconds
     * @return an assessment of each endpoint, in the same order
     */
    public List<Assessment> explain(
            SelectionRequest request, List<EndpointState> usable, long nowMillis) {
        List<EndpointState> allowed =
                usable.stream()
                        .filter(each -> refusal(each, request, nowMillis).isEmpty())
                        .toList();
        List<EndpointState> healthy =
                allowed.stream().filter(each -> !each.health().isEjected(nowMillis)).toList();
        List<EndpointState> candidates = healthy.isEmpty() ? allowed : healthy;
        EndpointState owner = EndpointSelector.affinityOwner(candidates, request.prompt());
        EndpointState chosen = chosen(request, usable, candidates, nowMillis);
        List<Assessment> assessments = new ArrayList<>();
        if (usable.isEmpty()) {
            return assessments;
        }
        SpeedView speeds = mSelector.speeds(request, usable, usable, nowMillis);
        for (EndpointState each : usable) {
            Optional<String> refusal = refusal(each, request, nowMillis);
            if (refusal.isEmpty() && !candidates.contains(each)) {
                refusal = Optional.of("ejected");
            }
            double cost = mSelector.cost(each, each == owner, request, speeds, nowMillis);
            assessments.add(new Assessment(each, cost, refusal, each == chosen));
        }
        return assessments;
    }

    private EndpointState chosen(
            SelectionRequest request,
            List<EndpointState> usable,
            List<EndpointState> candidates,
            long nowMillis) {
        if (candidates.isEmpty()) {
            return null;
        }
        Selection selection = mSelector.cheapest(usable, candidates, request, nowMillis);
        return selection instanceof Selection.Chosen chosen ? chosen.endpoint() : null;
    }

    private Optional<String> refusal(
            EndpointState endpoint, SelectionRequest request, long nowMillis) {
        if (!request.allows(endpoint)) {
            return Optional.of("not allowed for the request");
        }
        if (!endpoint.pause().maySend(nowMillis)) {
            return Optional.of("paused");
        }
        return mSelector.withinRate(endpoint, request, nowMillis)
                ? Optional.empty()
                : Optional.of("cold limit");
    }
}
