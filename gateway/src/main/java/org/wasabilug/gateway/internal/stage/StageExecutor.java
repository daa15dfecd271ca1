package org.wasabilug.gateway.internal.stage;

import java.util.List;
import java.util.function.Consumer;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;

/** Produces pieces. */
public interface StageExecutor {
    /**
     * Has a piece produced.
     *
     * @param work the piece
     * @param receiver gets the outcome, once
     */
    void submit(PieceWork work, Consumer<PieceOutcome> receiver);

    /**
     * Gives up the pieces of a request that have no outcome yet; their receivers get none.
     *
     * @param request id of the request
     * @param pieces the pieces
     */
    void cancel(String request, List<PieceWork> pieces);

    /**
     * Gives up results that are no longer needed.
     *
     * @param handles the results
     */
    void release(List<String> handles);
}
