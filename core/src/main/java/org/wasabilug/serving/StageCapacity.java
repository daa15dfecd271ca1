package org.wasabilug.serving;

/**
 * What one endpoint of a stage's service can do.
 *
 * @param parallelCalls calls that run at the same time
 * @param waitingCalls calls that may wait
 * @param piecesPerCall pieces that one call may hold
 * @param callMillis time of a call, whatever it holds
 * @param pieceMillis additional time of each piece
 * @param resultMegabytes room for results
 * @param resultLifetimeMillis time for which an unread result is kept
 */
public record StageCapacity(
        int parallelCalls,
        int waitingCalls,
        int piecesPerCall,
        double callMillis,
        double pieceMillis,
        double resultMegabytes,
        double resultLifetimeMillis) {}
