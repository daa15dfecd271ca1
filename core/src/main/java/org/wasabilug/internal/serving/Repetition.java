package org.wasabilug.internal.serving;

/** Whether a piece is sent once more. */
public enum Repetition {
    /** It was not sent before. */
    NONE,
    /** It may have been sent before, and the retry budget permits that it is sent again. */
    PERMITTED,
    /** It may have been sent before; whoever sends it has to ask the retry budget. */
    UNPERMITTED
}
