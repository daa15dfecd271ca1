package org.wasabilug.internal.execution;

/** Status of a stage of a request in flight. */
enum StageStatus {
    /** Waiting for the results of other stages. */
    BLOCKED,
    /** Waiting for the at-most-once ledger to settle the claim. */
    CLAIMING,
    /** Waiting for capacity at an endpoint. */
    WAITING,
    /** Waiting for the retry delay to elapse. */
    BACKING_OFF,
    /** Running at one or more endpoints. */
    RUNNING,
    /** The result is complete. */
    DONE
}
