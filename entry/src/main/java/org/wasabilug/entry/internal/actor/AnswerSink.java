package org.wasabilug.entry.internal.actor;

import org.wasabilug.model.Refusal;
import org.wasabilug.model.StageName;

/** Receives the answer to one request. Called only by the instance actor. */
public interface AnswerSink {
    /**
     * Appends the next part of a stage's result.
     *
     * @param stage stage that produced the part
     * @param text the part
     * @return whether the sink accepts more
     */
    SinkState append(StageName stage, String text);

    /** Ends a complete answer. */
    void complete();

    /**
     * Ends an incomplete answer.
     *
     * @param refusal the reason
     */
    void refuse(Refusal refusal);

    /** Whether a sink accepts further parts. */
    enum SinkState {
        /** Accepts further parts. */
        READY,
        /**
         * The caller reads too slowly. Further parts are still buffered, but the endpoints should
         * be paused.
         */
        SATURATED,
        /** The part exceeded the limit, so the answer can no longer be completed. */
        OVERFLOWED
    }
}
