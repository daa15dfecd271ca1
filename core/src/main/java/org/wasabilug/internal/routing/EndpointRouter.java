package org.wasabilug.internal.routing;

import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.model.EndpointName;

/** Chooses endpoints and learns from what becomes of the attempts. */
public interface EndpointRouter {
    /**
     * Chooses an endpoint. Taken-out failure domains, leaving endpoints and cold endpoints without
     * allowance are never chosen.
     *
     * @param query the attempt
     * @param nowNanos monotonic time, in nanoseconds
     * @return the choice
     */
    RoutingDecision route(RoutingQuery query, long nowNanos);

    /**
     * Counts an attempt that is being sent.
     *
     * @param attempt the attempt
     * @param endpoint where it goes
     * @param query what was asked of the router
     * @param nowNanos monotonic time, in nanoseconds
     */
    void dispatched(AttemptId attempt, EndpointName endpoint, RoutingQuery query, long nowNanos);

    /**
     * Notes the first part of an attempt's result.
     *
     * @param attempt the attempt
     * @param nowNanos monotonic time, in nanoseconds
     */
    void firstChunk(AttemptId attempt, long nowNanos);

    /**
     * Ends the count of an attempt.
     *
     * @param attempt the attempt
     * @param end how it ended
     * @param nowNanos monotonic time, in nanoseconds
     */
    void ended(AttemptId attempt, AttemptEnd end, long nowNanos);
}
