package org.wasabilug.internal.serving;

/** Reason why a piece has no result. */
public enum PieceFailure {
    /** Its deadline or latest start time passed before it was sent. */
    LATE,
    /** One of its inputs no longer exists. */
    INPUT_GONE,
    /** The endpoint has no capacity for the result. */
    NO_ROOM,
    /** The endpoint failed or could not be reached. */
    ERROR,
    /** No endpoint of the service accepts work. */
    NO_ENDPOINT
}
