package org.wasabilug.scenarios.internal.chaos;

/** Kinds of faults from which a schedule draws at random. */
public enum FaultKind {
    /** A process is killed and restarted later. */
    KILL,
    /** A planned stop, followed by a restart. */
    STOP,
    /** A process is paused. */
    PAUSE,
    /** An endpoint restarts without notice and is in cold start. */
    TURN_COLD,
    /** An endpoint serves slowly. */
    SLOW_ENDPOINT,
    /** An endpoint fails every call. */
    FAILING_ENDPOINT,
    /** The platform is unavailable. */
    PLATFORM_DOWN,
    /** The platform responds slowly. */
    PLATFORM_SLOW,
    /** Commits take effect after their callers have timed out. */
    LATE_COMMITS,
    /** Responses are lost after the writes took effect. */
    LOST_ANSWERS,
    /** One instance is cut off from the platform. */
    CUT_FROM_PLATFORM,
    /** The network between two failure domains is partitioned. */
    PARTITION,
    /** Operators take a failure domain out of service and return it to service. */
    DOMAIN_OUT,
    /** The platform lists an endpoint as leaving. */
    LEAVING_ENDPOINT
}
