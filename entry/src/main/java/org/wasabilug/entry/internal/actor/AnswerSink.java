package org.wasabilug.entry.internal.actor;

import org.wasabilug.model.Refusal;
import org.wasabilug.model.StageName;

/** Where the answer to one request goes. The instance's actor alone calls it. */
public interface AnswerSink {
    /**
     * Takes the next part of a stage's result.
     *
     * @param stage stage that made it
     * @param text the part
     * @return whether more can follow now
     */
    SinkState append(StageName stage, String text);

    /** Ends the answer; it is whole. */
    void complete();

    /**
     * Ends the answer; it is not whole.
     *
     * @param refusal why
     */
    void refuse(Refusal refusal);

    /** Whether a sink can take more. */
    enum SinkState {
        /** More can follow. */
        READY,
        /** The caller reads slowly; what follows now is still taken, but should be held back. */
        SATURATED,
        /** The part did not fit; the answer can't become whole any more. */
        OVERFLOWED
    }
}
