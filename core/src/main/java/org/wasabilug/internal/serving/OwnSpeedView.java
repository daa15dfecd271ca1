package org.wasabilug.internal.serving;

/**
 * Speeds of the endpoints of a service that does not state them: what this instance observed.
 *
 * @param nowMillis current monotonic time, in milliseconds
 */
record OwnSpeedView(long nowMillis) implements SpeedView {
    @Override
    public double slowness(EndpointState endpoint) {
        return endpoint.health().slowness(nowMillis);
    }

    @Override
    public double engineFactor(EndpointState endpoint) {
        return slowness(endpoint);
    }

    @Override
    public double callFactor(EndpointState endpoint) {
        return 1;
    }

    @Override
    public int unseenRequests(EndpointState endpoint) {
        return 0;
    }

    @Override
    public double unseenSend(EndpointState endpoint) {
        return 0;
    }

    @Override
    public double predictedMillis(EndpointState endpoint, double costMillis, double workMillis) {
        return costMillis;
    }
}
