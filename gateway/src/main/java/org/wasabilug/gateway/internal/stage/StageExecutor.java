package org.wasabilug.gateway.internal.stage;

import java.util.List;
import java.util.function.Consumer;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;

/** Executes the pieces of stages. */
public interface StageExecutor {
    /**
     * Submits a piece.
     *
     * @param work the piece
     * @param receiver receives the outcome, once
     */
    void submit(PieceWork work, Consumer<PieceOutcome> receiver);

    /**
     * Cancels the pieces of a request that have no outcome yet; their receivers are not called.
     *
     * @param request id of the request
     * @param pieces the pieces
     */
    void cancel(String request, List<PieceWork> pieces);

    /**
     * Releases results that are no longer needed.
     *
     * @param handles the results
     */
    void release(List<String> handles);
}
