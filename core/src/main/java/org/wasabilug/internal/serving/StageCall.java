package org.wasabilug.internal.serving;

import java.util.List;

/**
 * Pieces that are sent to an endpoint together.
 *
 * @param endpoint where they go
 * @param pieces the pieces, in the order in which results come back
 */
public record StageCall(EndpointState endpoint, List<PieceWork> pieces) {
    /** Copies the list. */
    public StageCall {
        pieces = List.copyOf(pieces);
    }
}
