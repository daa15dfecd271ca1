package org.wasabilug.internal.execution;

/** Where a stage of a running request stands. */
enum StageStatus {
    /** Waits for the results of other stages. */
    BLOCKED,
    /** Waits for the at-most-once ledger. */
    CLAIMING,
    /** Waits for room at an endpoint. */
    WAITING,
    /** Waits for the delay before a retry. */
    BACKING_OFF,
    /** Runs at one or more endpoints. */
    RUNNING,
    /** Has its whole result. */
    DONE
}
