package org.wasabilug.scenarios.internal.coverage;

/** A line of what fails, with the tag of the scenarios that make it fail. */
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
    /** Answers are lost after the write took effect. */
    ANSWERS_LOST("@fails-answers-lost", "answers lost"),
    /** A lease lapses while its holder is paused. */
    HOLDER_PAUSED("@fails-holder-paused", "holder paused"),
    /** Operators race. */
    OPERATORS_RACE("@fails-operators-race", "operators race"),
    /** A request crashes each endpoint that runs it. */
    CRASHING_REQUEST("@fails-crashing-request", "crashing request"),
    /** Failure domains are cut off from each other. */
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
     * Tag of the scenarios that make it fail.
     *
     * @return the tag, with its sign
     */
    public String tag() {
        return mTag;
    }

    /**
     * Title for people.
     *
     * @return a few words
     */
    public String title() {
        return mTitle;
    }
}
