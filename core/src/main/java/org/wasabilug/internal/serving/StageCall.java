package org.wasabilug.internal.serving;

import java.util.List;

/**
 * Pieces that are sent to an endpoint in one call.
 *
 * @param endpoint endpoint that receives the call
 * @param pieces the pieces, in the order in which their results are returned
 */
public record StageCall(EndpointState endpoint, List<PieceWork> pieces) {
    /** Copies the pieces. */
    public StageCall {
        pieces = List.copyOf(pieces);
    }
}
