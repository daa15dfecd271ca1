package org.wasabilug.standin.internal.endpoint;

import org.apache.pekko.stream.SharedKillSwitch;

/** What an endpoint does with a call that it was sent. */
sealed interface Admission {
    /** Refused before any work. */
    record Refused() implements Admission {}

    /** Received, and the endpoint crashed at once. */
    record Crashed() implements Admission {}

    /**
     * Received and running.
     *
     * @param generation process life that runs it
     * @param killSwitch cuts the answer when that life ends
     * @param paceFactor factor on every time of the answer
     */
    record Running(Generation generation, SharedKillSwitch killSwitch, double paceFactor)
            implements Admission {}
}
