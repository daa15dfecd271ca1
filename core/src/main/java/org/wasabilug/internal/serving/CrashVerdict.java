package org.wasabilug.internal.serving;

/** Whether a request may be sent although endpoints crashed on some of its features. */
public enum CrashVerdict {
    /** The request may be sent. */
    ALLOWED,
    /** The request may be sent, as the only one of its kind at this instance for now. */
    TRIAL,
    /** The request must not be sent. */
    REFUSED
}
