package org.wasabilug.serving;

/** Whether requests of a route may be repeated, as configured by the operator. */
public enum RequestKind {
    /** A request may run any number of times. */
    REPEATABLE,
    /** A request may run at most once. */
    ONCE,
    /** An event stream, which runs at most once unless its route allows resuming. */
    STREAM
}
