package org.wasabilug.internal.grant;

import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;

/** Limits the calls of this instance to endpoints in cold start. */
public interface ColdStartGate {
    /** Allowance of an endpoint that cold start does not limit. */
    int UNLIMITED = Integer.MAX_VALUE;

    /**
     * Returns the maximum number of calls that this instance may currently have in flight at an
     * endpoint.
     *
     * @param endpoint the endpoint
     * @param nowNanos current monotonic time, in nanoseconds
     * @return {@link #UNLIMITED} for a warm endpoint; a limit set by the held grants for a cold one
     */
    int allowance(Endpoint endpoint, long nowNanos);

    /**
     * Returns the maximum duration of a call that is dispatched to an endpoint now.
     *
     * @param endpoint the endpoint
     * @param nowNanos current monotonic time, in nanoseconds
     * @return duration in nanoseconds; {@link Long#MAX_VALUE} if cold start sets no limit
     */
    default long maximumCallNanos(EndpointName endpoint, long nowNanos) {
        return Long.MAX_VALUE;
    }
}
