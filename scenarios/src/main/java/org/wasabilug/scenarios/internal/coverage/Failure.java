package org.wasabilug.scenarios.internal.coverage;

/** A failure, which is a row of the coverage table, and the tag of scenarios that inject it. */
public enum Failure {
    /** A stage slows down. */
    STAGE_SLOW("@fails-stage-slow", "stage slow"),
    /** A stage fails. */
    STAGE_FAILS("@fails-stage-fails", "stage fails"),
    /** Traffic bursts. */
    BURST("@fails-burst", "burst"),
    /** A process dies. */
    PROCESS_DIES("@fails-process-dies", "process dies"),
    /** A warm endpoint turns cold. */
    TURNS_COLD("@fails-turns-cold", "turns cold"),
    /** The platform is down. */
    PLATFORM_DOWN("@fails-platform-down", "platform down"),
    /** The platform is slow. */
    PLATFORM_SLOW("@fails-platform-slow", "platform slow"),
    /** Responses are lost after the write took effect. */
    ANSWERS_LOST("@fails-answers-lost", "answers lost"),
    /** A lease expires while its holder is paused. */
    HOLDER_PAUSED("@fails-holder-paused", "holder paused"),
    /** Operators submit conflicting changes concurrently. */
    OPERATORS_RACE("@fails-operators-race", "operators race"),
    /** A request crashes every endpoint that processes it. */
    CRASHING_REQUEST("@fails-crashing-request", "crashing request"),
    /** The network between failure domains is partitioned. */
    PARTITION("@fails-partition", "partition"),
    /** The list of instances lags. */
    LIST_LAGS("@fails-list-lags", "list lags");

    private final String mTag;
    private final String mTitle;

    Failure(String tag, String title) {
        mTag = tag;
        mTitle = title;
    }

    /**
     * Returns the tag of the scenarios that inject the failure.
     *
     * @return the tag, including the leading @
     */
    public String tag() {
        return mTag;
    }

    /**
     * Returns the label of the table row.
     *
     * @return the label
     */
    public String title() {
        return mTitle;
    }
}
