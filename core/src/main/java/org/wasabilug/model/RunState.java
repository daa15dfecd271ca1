package org.wasabilug.model;

/** What a caller can rely on about the work of a refused request. */
public enum RunState {
    /** No endpoint has received the work or ever will. */
    NOT_RUN,
    /** The work has run, at least in part. */
    RAN,
    /** Whether the work has run can't be known now. */
    OUTCOME_UNKNOWN
}
