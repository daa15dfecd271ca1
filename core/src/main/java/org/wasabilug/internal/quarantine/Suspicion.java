package org.wasabilug.internal.quarantine;

/** What is known of a request's content. */
public enum Suspicion {
    /** No crash is tied to it. */
    CLEAN,
    /** It ran on an endpoint that crashed; it must run apart from other suspects. */
    SUSPECT,
    /** It crashed two endpoints; it must not run. */
    QUARANTINED
}
