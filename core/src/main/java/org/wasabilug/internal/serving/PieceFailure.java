package org.wasabilug.internal.serving;

/** Why a piece has no result. */
public enum PieceFailure {
    /** Its deadline passed before its turn. */
    LATE,
    /** One of its inputs no longer exists. */
    INPUT_GONE,
    /** The endpoint has no room for its result. */
    NO_ROOM,
    /** The endpoint failed, or could not be reached. */
    ERROR,
    /** No endpoint of the service may take work. */
    NO_ENDPOINT
}
