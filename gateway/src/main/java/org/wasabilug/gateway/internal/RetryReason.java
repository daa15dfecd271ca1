package org.wasabilug.gateway.internal;

/** Why a request or a piece of one is sent once more. */
public enum RetryReason {
    /** An attempt has failed. */
    FAILED_ATTEMPT,
    /** An attempt takes too long, and goes on. */
    OVERDUE_ATTEMPT,
    /** An attempt takes longer than most, and goes on. */
    HEDGE,
    /** A call with the piece has failed. */
    FAILED_PIECE,
    /** A call with the piece takes too long, and goes on. */
    OVERDUE_PIECE,
    /** The stage runs again. */
    STAGE_AGAIN,
    /** The instance that was to send the pieces is lost. */
    LOST_SENDER
}
