package org.wasabilug.gateway.protocol;

import java.util.List;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;

/** Calls of endpoints that run stages. */
public interface StageProtocol {
    /** Returns the path to which calls with pieces are posted. */
    String callTarget();

    /**
     * Encodes the body of a call with pieces.
     *
     * @param pieces the pieces
     * @param nowMillis current time in milliseconds, on the clock of the pieces' deadlines
     */
    byte[] callBody(List<PieceWork> pieces, long nowMillis);

    /**
     * Decodes the response to a call.
     *
     * @param body body of the response
     * @param pieces number of pieces that were sent
     * @return an outcome for each piece, in order
     * @throws UnreadableException if the response does not have this format
     */
    List<PieceOutcome> readResponse(byte[] body, int pieces);

    /** Returns the path to which releases of results are posted. */
    String releaseTarget();

    /**
     * Encodes the body of a release of results.
     *
     * @param handles the results
     */
    byte[] releaseBody(List<String> handles);

    /**
     * Returns the address of the endpoint that produced a result.
     *
     * @param handle the result
     * @return host and port, separated by a colon
     */
    String producerAddress(String handle);
}
