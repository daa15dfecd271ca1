package org.wasabilug.gateway.internal.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.serving.Route;
import org.wasabilug.serving.RouteStage;

/** Finds the failure domain in which most inputs of a request lie. */
final class InputLocator {
    /** Inputs below this size cost little to read from another failure domain. */
    private static final double LARGE_INPUT_BYTES = 500_000;

    private final GatewayState mState;

    InputLocator(GatewayState state) {
        mState = state;
    }

    /** Gives this instance's own place, for requests without inputs. */
    Sender.InputLocation localLocation() {
        return new Sender.InputLocation(mState.settings().failureDomain(), false);
    }

    Sender.InputLocation locate(Route route, List<String> handles) {
        boolean large =
                route.stages().stream().mapToDouble(RouteStage::resultBytes).max().orElse(0)
                        >= LARGE_INPUT_BYTES;
        return locate(handles)
                .map(domain -> new Sender.InputLocation(domain, large))
                .orElse(localLocation());
    }

    /** Gives the size of the largest result that a stage reads. */
    double largestInputBytes(Route route, int stage) {
        return route.stages().get(stage).after().stream()
                .mapToDouble(before -> route.stages().get(before).resultBytes())
                .max()
                .orElse(0);
    }

    /** Gives the failure domain in which most of the results lie. */
    Optional<String> locate(List<String> handles) {
        Map<String, Integer> counts = new HashMap<>();
        for (String handle : handles) {
            String address = mState.protocol().stages().producerAddress(handle);
            mState.directory()
                    .findByAddress(address)
                    .ifPresent(
                            endpoint ->
                                    counts.merge(
                                            endpoint.registration().failureDomain(),
                                            1,
                                            Integer::sum));
        }
        return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
    }
}
