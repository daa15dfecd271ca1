package org.wasabilug.gateway.internal;

/** Why a request or a piece of one is sent once more. */
public enum RetryReason {
    /** An attempt has failed. */
    FAILED_ATTEMPT,
    /** An attempt takes too long, and goes on. */
    OVERDUE_ATTEMPT,
    /** A call with the piece has failed. */
    FAILED_PIECE,
    /** A call with the piece takes too long, and goes on. */
    OVERDUE_PIECE,
    /** The piece was ordered again, as its stage runs again or its sender was lost. */
    ORDERED_AGAIN
}
