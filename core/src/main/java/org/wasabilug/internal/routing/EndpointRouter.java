package org.wasabilug.internal.routing;

import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.EndpointName;

/** Chooses endpoints and adapts to the outcomes of attempts. */
public interface EndpointRouter {
    /**
     * Chooses an endpoint. Endpoints that are leaving, whose failure domain is out of service, or
     * that are cold without a remaining allowance are never chosen.
     *
     * @param query the attempt
     * @param nowNanos current monotonic time, in nanoseconds
     * @return the decision
     */
    RoutingDecision route(RoutingQuery query, long nowNanos);

    /**
     * Records that an attempt is being sent.
     *
     * @param attempt the attempt
     * @param endpoint endpoint that receives it
     * @param query query for which the endpoint was chosen
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void dispatched(AttemptId attempt, EndpointName endpoint, RoutingQuery query, long nowNanos);

    /**
     * Records the first chunk of an attempt's result.
     *
     * @param attempt the attempt
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void firstChunk(AttemptId attempt, long nowNanos);

    /**
     * Records the end of an attempt.
     *
     * @param attempt the attempt
     * @param end its outcome
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void ended(AttemptId attempt, AttemptEnd end, long nowNanos);
}
