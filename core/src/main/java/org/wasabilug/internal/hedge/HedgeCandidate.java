package org.wasabilug.internal.hedge;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * A request whose first send has brought nothing yet.
 *
 * @param route name of its route
 * @param service service to which it was sent
 * @param elapsedMillis time since the first send, in milliseconds
 * @param predictedMillis time that was predicted for the first send, in milliseconds
 * @param remainingMillis time left to its deadline, in milliseconds
 * @param other finds the endpoint for a hedge; empty if none may receive the request
 */
public record HedgeCandidate(
        String route,
        String service,
        long elapsedMillis,
        double predictedMillis,
        long remainingMillis,
        Supplier<Optional<Other>> other) {
    /**
     * The endpoint that would receive the hedge.
     *
     * @param predictedMillis predicted time to its response, in milliseconds
     * @param full whether the endpoints of the service have no free slots to spare
     */
    public record Other(double predictedMillis, boolean full) {}
}
