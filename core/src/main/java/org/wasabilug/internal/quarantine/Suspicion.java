package org.wasabilug.internal.quarantine;

/** Suspicion that the content of a request crashes endpoints. */
public enum Suspicion {
    /** No crash is attributed to the content. */
    CLEAN,
    /** The content ran at an endpoint that crashed; it must not run beside other suspects. */
    SUSPECT,
    /** The content is held responsible for two crashes; it must not run. */
    QUARANTINED
}
