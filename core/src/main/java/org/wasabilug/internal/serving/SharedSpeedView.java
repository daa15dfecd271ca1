package org.wasabilug.internal.serving;

/**
 * Speeds of the endpoints of a service that states them, as the fleet knows them.
 *
 * <p>All instances have nearly the same view, which is out of date when it arrives. A faster
 * endpoint is therefore preferred for a part of the requests only, drawn anew for each request and
 * instance. A slower one is avoided by all, except for a few requests that show whether it is still
 * slow.
 *
 * @param usualLog mean logarithm of the observed ratio at the endpoints of the service
 * @param endpoints number of endpoints among which is chosen
 * @param seed differs between instances and between requests
 * @param nowMillis current monotonic time, in milliseconds
 */
record SharedSpeedView(double usualLog, int endpoints, long seed, long nowMillis)
        implements SpeedView {
    /**
     * A faster endpoint gets up to this multiple of an even share while the reports that would show
     * its load are under way; about the ratio between the fastest and the slowest machines.
     */
    private static final double ADVANTAGE_SHARES = 3;

    /** Among few endpoints the others still get half of the requests. */
    private static final double MAX_ADVANTAGE_PROBABILITY = 0.5;

    /** Probability with which a slower endpoint competes as if it were as fast as the others. */
    private static final double TRIAL_PROBABILITY = 1.0 / 16;

    private static final double MIN_FACTOR = 0.1;
    private static final double MAX_FACTOR = 10;

    private static final int ADVANTAGE_DRAW = 1;
    private static final int SEND_DRAW = 2;

    /** Increment and multipliers of the generator SplitMix64. */
    private static final long INCREMENT = 0x9E3779B97F4A7C15L;

    private static final long FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9L;
    private static final long SECOND_MULTIPLIER = 0x94D049BB133111EBL;
    private static final int MANTISSA_BITS = 53;

    /**
     * Creates a seed.
     *
     * @param instance name of this instance
     * @param request number of the request, which differs between the requests of the instance
     */
    static long seed(String instance, long request) {
        return mix(((long) instance.hashCode() << Integer.SIZE) + request * INCREMENT);
    }

    @Override
    public double slowness(EndpointState endpoint) {
        EndpointSpeed speed = endpoint.speed();
        return Math.clamp(
                speed.lasting(usualLog, nowMillis) * speed.momentary(nowMillis),
                MIN_FACTOR,
                MAX_FACTOR);
    }

    @Override
    public double engineFactor(EndpointState endpoint) {
        return drawn(endpoint, slowness(endpoint));
    }

    /** The observed latency includes the lasting factor and the mean of the momentary one. */
    @Override
    public double callFactor(EndpointState endpoint) {
        EndpointSpeed speed = endpoint.speed();
        return drawn(endpoint, speed.momentary(nowMillis) / speed.typical(nowMillis));
    }

    private double drawn(EndpointState endpoint, double factor) {
        double draw = uniform(endpoint, ADVANTAGE_DRAW);
        if (factor > 1) {
            return draw < TRIAL_PROBABILITY ? 1 : factor;
        }
        double probability = Math.min(MAX_ADVANTAGE_PROBABILITY, ADVANTAGE_SHARES / endpoints);
        return draw < probability ? factor : 1;
    }

    @Override
    public int unseenRequests(EndpointState endpoint) {
        return endpoint.speed().unseenRequests(nowMillis);
    }

    @Override
    public double unseenSend(EndpointState endpoint) {
        return uniform(endpoint, SEND_DRAW);
    }

    /** The cost may be that of a draw in which the endpoint's slowness did not count. */
    @Override
    public double predictedMillis(EndpointState endpoint, double costMillis, double workMillis) {
        return Math.max(costMillis, workMillis * slowness(endpoint));
    }

    /** Returns a number from 0 to 1 that depends on instance, request, endpoint and purpose. */
    private double uniform(EndpointState endpoint, int purpose) {
        long name = endpoint.registration().name().hashCode();
        long bits = mix(seed + (name << 2 | purpose) * INCREMENT);
        return (bits >>> Long.SIZE - MANTISSA_BITS) / (double) (1L << MANTISSA_BITS);
    }

    private static long mix(long value) {
        long first = (value ^ value >>> 30) * FIRST_MULTIPLIER;
        long second = (first ^ first >>> 27) * SECOND_MULTIPLIER;
        return second ^ second >>> 31;
    }
}
