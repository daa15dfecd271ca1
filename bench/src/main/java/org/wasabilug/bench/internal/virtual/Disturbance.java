package org.wasabilug.bench.internal.virtual;

/** What goes wrong in the middle of a run. */
public sealed interface Disturbance {
    /** Nothing goes wrong. */
    record None() implements Disturbance {}

    /**
     * Every endpoint of a pool is slower.
     *
     * @param pool name of the pool
     * @param factor how many times slower
     */
    record SlowStage(String pool, double factor) implements Disturbance {}

    /**
     * The first endpoint of a pool is slower.
     *
     * @param pool name of the pool
     * @param factor how many times slower
     */
    record SlowEndpoint(String pool, double factor) implements Disturbance {}

    /**
     * Every call to the first endpoint of a pool fails.
     *
     * @param pool name of the pool
     */
    record FailingEndpoint(String pool) implements Disturbance {}

    /**
     * Callers send more for a while.
     *
     * @param factor arrivals in place of one
     * @param milliseconds how long
     */
    record Burst(double factor, long milliseconds) implements Disturbance {}

    /** Every endpoint of the first failure domain turns cold without notice. */
    record ColdDomain() implements Disturbance {}

    /** A ticket takes the first failure domain out, and a later one brings it back. */
    record DomainMove() implements Disturbance {}

    /** The platform's services answer nobody. */
    record PlatformAway() implements Disturbance {}

    /**
     * Name in reports and on the command line.
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
            case PlatformAway() -> "platform-away";
        };
    }
}
