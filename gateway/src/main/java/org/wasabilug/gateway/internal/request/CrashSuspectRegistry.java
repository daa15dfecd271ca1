package org.wasabilug.gateway.internal.request;

import java.util.Set;
import org.wasabilug.internal.serving.CrashVerdict;
import org.wasabilug.internal.serving.RequestFeatures;
import org.wasabilug.serving.EndpointRegistration;

/** Knows which requests crash endpoints, also from what other instances saw. */
public interface CrashSuspectRegistry {
    /** Returns whether nothing is suspected, in which case requests need no check. */
    boolean isEmpty();

    /**
     * Records that an endpoint crashed while it ran a request that had not got past the beginning
     * of its answer.
     *
     * @param endpoint the endpoint
     * @param request features of the request
     * @param crashedMillis monotonic time of the crash, in milliseconds
     */
    void crashed(EndpointRegistration endpoint, RequestFeatures request, long crashedMillis);

    /**
     * Records that an answer went on past its beginning.
     *
     * @param request features of the request; its content is not used while nothing is suspected
     */
    void answered(RequestFeatures request);

    /**
     * Decides whether a request may be sent now.
     *
     * @param request features of the request
     * @param service name of the service that runs it
     */
    CrashVerdict judge(RequestFeatures request, String service);

    /**
     * Returns the features of a request that count as causes of crashes.
     *
     * @param request features of the request
     */
    Set<Long> condemned(RequestFeatures request);
}
