package org.wasabilug.internal.serving;

/** How fast the endpoints of one service are at one time, as seen by one instance. */
sealed interface SpeedView permits OwnSpeedView, SharedSpeedView {
    /**
     * Returns by which factor work takes longer than predicted.
     *
     * @param endpoint the endpoint
     */
    double slowness(EndpointState endpoint);

    /**
     * Returns the factor with which an engine competes for one request.
     *
     * @param endpoint the engine
     */
    double engineFactor(EndpointState endpoint);

    /**
     * Returns the factor with which an endpoint of another service competes, beyond the latency
     * that this instance observed there.
     *
     * @param endpoint the endpoint
     */
    double callFactor(EndpointState endpoint);

    /**
     * Returns the number of requests that an endpoint stated beyond those known of.
     *
     * @param endpoint the endpoint
     */
    int unseenRequests(EndpointState endpoint);

    /**
     * Returns which part of a like request is assumed to have been sent to an endpoint by another
     * instance that has the same view.
     *
     * @param endpoint the endpoint
     */
    double unseenSend(EndpointState endpoint);

    /**
     * Returns the predicted time that applies to a chosen engine.
     *
     * @param endpoint the engine
     * @param costMillis cost with which it was chosen
     * @param workMillis predicted time at an engine of usual speed
     */
    double predictedMillis(EndpointState endpoint, double costMillis, double workMillis);
}
