package org.wasabilug.entry.internal.actor;

import java.util.Optional;
import org.wasabilug.model.Refusal;

/**
 * State of a request that was sent with an idempotency key.
 *
 * @param fingerprint hash of the target and the body
 * @param state progress of the request
 * @param refusal reason of the refusal; empty in other states
 */
public record RequestRecord(String fingerprint, State state, Optional<Refusal> refusal) {
    /** Progress of a request. */
    public enum State {
        /** The request is in flight. */
        RUNNING,
        /** The answer is complete. */
        COMPLETED,
        /** The request ended without a complete answer. */
        REFUSED
    }

    /** Returns the record of a request in flight. */
    static RequestRecord running(String fingerprint) {
        return new RequestRecord(fingerprint, State.RUNNING, Optional.empty());
    }

    /** Returns this record with a complete answer. */
    RequestRecord completed() {
        return new RequestRecord(fingerprint, State.COMPLETED, Optional.empty());
    }

    /** Returns this record with the reason for its incomplete answer. */
    RequestRecord refused(Refusal reason) {
        return new RequestRecord(fingerprint, State.REFUSED, Optional.of(reason));
    }
}
