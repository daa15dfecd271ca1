package org.wasabilug.model;

/** What is known about whether the work of a refused request has run. */
public enum RunState {
    /** No endpoint has received the work, and none will. */
    NOT_RUN,
    /** The work has run at least in part. */
    RAN,
    /** It is currently unknown whether the work has run. */
    OUTCOME_UNKNOWN
}
