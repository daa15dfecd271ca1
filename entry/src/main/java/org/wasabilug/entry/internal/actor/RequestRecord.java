package org.wasabilug.entry.internal.actor;

import java.util.Optional;
import org.wasabilug.model.Refusal;

/**
 * What an instance remembers of a request that named an idempotency key.
 *
 * @param fingerprint hash of its target and body
 * @param state how far it has come
 * @param refusal why it was refused; empty in other states
 */
public record RequestRecord(String fingerprint, State state, Optional<Refusal> refusal) {
    /** How far a request has come. */
    public enum State {
        /** It is in flight. */
        RUNNING,
        /** Its answer is complete. */
        COMPLETED,
        /** It ended without a complete answer. */
        REFUSED
    }

    /**
     * A request in flight.
     *
     * @param fingerprint hash of its target and body
     * @return the record
     */
    static RequestRecord running(String fingerprint) {
        return new RequestRecord(fingerprint, State.RUNNING, Optional.empty());
    }

    /**
     * This request with a complete answer.
     *
     * @return the record
     */
    RequestRecord completed() {
        return new RequestRecord(fingerprint, State.COMPLETED, Optional.empty());
    }

    /**
     * This request without a complete answer.
     *
     * @param reason why
     * @return the record
     */
    RequestRecord refused(Refusal reason) {
        return new RequestRecord(fingerprint, State.REFUSED, Optional.of(reason));
    }
}
