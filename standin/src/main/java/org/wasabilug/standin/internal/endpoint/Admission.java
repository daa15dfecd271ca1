package org.wasabilug.standin.internal.endpoint;

import org.apache.pekko.stream.SharedKillSwitch;
import org.wasabilug.endpoint.wire.StageCallBody;

/** What an endpoint does with a call that it was sent. */
sealed interface Admission {
    /** Refused before any work. */
    record Refused() implements Admission {}

    /**
     * Received; it runs as soon as its answer is asked for.
     *
     * @param generation process life that runs it
     * @param call the call
     * @param killSwitch cuts the answer when that life ends
     * @param paceFactor factor on every time of the answer
     */
    record Running(
            Generation generation,
            StageCallBody call,
            SharedKillSwitch killSwitch,
            double paceFactor)
            implements Admission {}
}
