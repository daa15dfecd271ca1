package org.wasabilug.port;

/** Outcome of a request to the object store. */
public sealed interface ObjectOutcome {
    /**
     * The object was read.
     *
     * @param text content of the object
     */
    record Found(String text) implements ObjectOutcome {}

    /** No such object exists. */
    record Missing() implements ObjectOutcome {}

    /** The object was written. */
    record Written() implements ObjectOutcome {}

    /** The service can't be reached; a write may have taken effect. */
    record Unavailable() implements ObjectOutcome {}
}
