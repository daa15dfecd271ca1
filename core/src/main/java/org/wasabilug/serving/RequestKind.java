package org.wasabilug.serving;

/** What the operator of a route says about repeating its requests. */
public enum RequestKind {
    /** A request may run any number of times. */
    REPEATABLE,
    /** A request may run at most once. */
    ONCE,
    /** A stream of events, to be run once unless its route allows resuming. */
    STREAM
}
