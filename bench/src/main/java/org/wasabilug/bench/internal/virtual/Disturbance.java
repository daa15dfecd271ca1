package org.wasabilug.bench.internal.virtual;

/** A fault or a change of load in the middle of a run. */
public sealed interface Disturbance {
    /** No disturbance. */
    record None() implements Disturbance {}

    /**
     * Every endpoint of a pool is slowed down.
     *
     * @param pool name of the pool
     * @param factor factor by which calls take longer
     */
    record SlowStage(String pool, double factor) implements Disturbance {}

    /**
     * The first endpoint of a pool is slowed down.
     *
     * @param pool name of the pool
     * @param factor factor by which calls take longer
     */
    record SlowEndpoint(String pool, double factor) implements Disturbance {}

    /**
     * Every call to the first endpoint of a pool fails.
     *
     * @param pool name of the pool
     */
    record FailingEndpoint(String pool) implements Disturbance {}

    /**
     * Requests arrive at a higher rate for a limited time.
     *
     * @param factor factor by which the arrival rate grows
     * @param milliseconds duration of the burst
     */
    record Burst(double factor, long milliseconds) implements Disturbance {}

    /** Every endpoint of the first failure domain turns cold without prior notice. */
    record ColdDomain() implements Disturbance {}

    /** A ticket takes the first failure domain out of service; a later one returns it. */
    record DomainMove() implements Disturbance {}

    /** The platform's services do not respond to any instance. */
    record PlatformUnavailable() implements Disturbance {}

    /**
     * Returns the name in reports.
     *
     * @return the name
     */
    default String label() {
        return switch (this) {
            case None() -> "none";
            case SlowStage slow -> "slow-" + slow.pool();
            case SlowEndpoint ignored -> "slow-endpoint";
            case FailingEndpoint ignored -> "failing-endpoint";
            case Burst ignored -> "burst";
            case ColdDomain() -> "cold-domain";
            case DomainMove() -> "domain-move";
            case PlatformUnavailable() -> "platform-away";
        };
    }
}
