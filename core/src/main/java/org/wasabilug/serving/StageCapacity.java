package org.wasabilug.serving;

/**
 * Capacity of one endpoint that runs a stage.
 *
 * @param parallelCalls number of calls that run concurrently
 * @param waitingCalls number of calls that may wait
 * @param piecesPerCall maximum number of pieces per call
 * @param callMillis fixed duration of a call, in milliseconds
 * @param pieceMillis additional duration per piece, in milliseconds
 * @param resultMegabytes capacity for results, in megabytes
 * @param resultLifetimeMillis time for which an unread result is kept, in milliseconds
 */
public record StageCapacity(
        int parallelCalls,
        int waitingCalls,
        int piecesPerCall,
        double callMillis,
        double pieceMillis,
        double resultMegabytes,
        double resultLifetimeMillis) {
    /** Capacity of a service that is not configured. */
    public static final StageCapacity NONE = new StageCapacity(0, 0, 0, 0, 0, 0, 0);
}
