package org.wasabilug.internal.grant;

import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;

/** Tells how much work this instance may hold at an endpoint with regard to cold start. */
public interface ColdStartGate {
    /** Allowance of an endpoint that cold start does not limit. */
    int UNLIMITED = Integer.MAX_VALUE;

    /**
     * Most calls that this instance may have in flight at the endpoint at this moment.
     *
     * @param endpoint the endpoint
     * @param nowNanos monotonic time, in nanoseconds
     * @return {@link #UNLIMITED} for a warm endpoint; what the grants held allow for a cold one
     */
    int allowance(Endpoint endpoint, long nowNanos);

    /**
     * Longest time that a call may take that goes to the endpoint at this moment.
     *
     * @param endpoint the endpoint
     * @param nowNanos monotonic time, in nanoseconds
     * @return nanoseconds; {@link Long#MAX_VALUE} where cold start sets no bound
     */
    default long maximumCallNanos(EndpointName endpoint, long nowNanos) {
        return Long.MAX_VALUE;
    }
}
