package org.wasabilug.scenarios.internal.chaos;

/** Kinds of faults that a schedule may draw. */
public enum FaultKind {
    /** A process dies and is started again later. */
    KILL,
    /** A planned stop, and a new start later. */
    STOP,
    /** A process pauses. */
    PAUSE,
    /** An endpoint turns cold unannounced. */
    TURN_COLD,
    /** An endpoint serves slowly. */
    SLOW_ENDPOINT,
    /** An endpoint fails every call. */
    FAILING_ENDPOINT,
    /** The platform is away. */
    PLATFORM_DOWN,
    /** The platform answers slowly. */
    PLATFORM_SLOW,
    /** Commits take effect after their callers have given up. */
    LATE_COMMITS,
    /** Answers are lost after the writes took effect. */
    LOST_ANSWERS,
    /** One instance is cut off from the platform. */
    CUT_FROM_PLATFORM,
    /** Two failure domains are cut off from each other. */
    PARTITION,
    /** Operators take a failure domain out and bring it back. */
    DOMAIN_OUT,
    /** The platform lists an endpoint as leaving. */
    LEAVING_ENDPOINT
}
