package org.wasabilug.internal.serving;

/**
 * Identifies one piece of a request.
 *
 * @param request ID of the request
 * @param stage index of the stage
 * @param piece index of the piece in its stage
 */
public record PieceId(String request, int stage, int piece) {}
