package org.wasabilug.gateway.protocol;

import java.util.List;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;

/** Calls of endpoints that do stages. */
public interface StageProtocol {
    /**
     * Makes the target of a call with pieces.
     *
     * @return path of a POST
     */
    String callTarget();

    /**
     * Makes the body of a call with pieces.
     *
     * @param pieces the pieces
     * @param nowMillis now, on the clock of their deadlines
     * @return the body
     */
    byte[] callBody(List<PieceWork> pieces, long nowMillis);

    /**
     * Reads the answer to a call.
     *
     * @param body the answer's body
     * @param pieces number of pieces that were sent
     * @return an outcome for each piece, in order
     * @throws UnreadableException where it is not such an answer
     */
    List<PieceOutcome> readResponse(byte[] body, int pieces);

    /**
     * Makes the target of a call that gives up results.
     *
     * @return path of a POST
     */
    String releaseTarget();

    /**
     * Makes the body of a call that gives up results.
     *
     * @param handles the results
     * @return the body
     */
    byte[] releaseBody(List<String> handles);

    /**
     * Finds the endpoint that made a result.
     *
     * @param handle the result
     * @return host and port, with a colon between
     */
    String producerAddress(String handle);
}
