package org.wasabilug.internal.serving;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Pieces to which recent results belong.
 *
 * <p>Responses to calls with pieces name no request. Where an endpoint writes a response once more
 * on a connection that is in use again, only its handles tell it from the response that is due.
 */
public final class ProducedHandles {
    private static final int MAX_HANDLES = 8_192;

    private final Map<String, PieceId> mPieces =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, PieceId> eldest) {
                    return size() > MAX_HANDLES;
                }
            };

    /**
     * Records the results of a call.
     *
     * @param pieces pieces of the call, in order
     * @param outcomes their outcomes, in the same order
     * @return false if one of the results belongs to another piece
     */
    public boolean record(List<PieceWork> pieces, List<PieceOutcome> outcomes) {
        for (int index = 0; index < pieces.size(); index++) {
            PieceId piece = pieces.get(index).id();
            if (outcomes.get(index) instanceof PieceOutcome.Produced produced) {
                PieceId known = mPieces.putIfAbsent(produced.handle(), piece);
                if (known != null && !known.equals(piece)) {
                    return false;
                }
            }
        }
        return true;
    }
}
