package org.wasabilug.gateway.internal.request;

/** What is known of a response whose end only the close of its connection marks. */
enum EndVerdict {
    /** The process outlived its response. */
    WHOLE,
    /** The process seems to have ended as planned; one that is killed seldom ends it like that. */
    LIKELY_WHOLE,
    /** The process ended with its response, or nothing can tell. */
    CUT
}
