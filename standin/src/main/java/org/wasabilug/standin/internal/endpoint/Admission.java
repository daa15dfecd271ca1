package org.wasabilug.standin.internal.endpoint;

import org.wasabilug.endpoint.wire.StageCallBody;

/** Decision of an endpoint whether to run a call. */
sealed interface Admission {
    /** The call was refused before any work. */
    record Refused() implements Admission {}

    /**
     * The call was accepted; it starts on the first demand for its answer.
     *
     * @param generation generation that runs the call
     * @param call the call
     * @param paceFactor multiplies every delay of the answer
     */
    record Accepted(Generation generation, StageCallBody call, double paceFactor)
            implements Admission {}
}
