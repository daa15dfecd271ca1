package org.wasabilug.internal.serving;

/**
 * Names one piece of a request's work before it runs.
 *
 * @param request id of the request
 * @param stage position of the stage
 * @param piece position of the piece in its stage
 */
public record PieceId(String request, int stage, int piece) {}
