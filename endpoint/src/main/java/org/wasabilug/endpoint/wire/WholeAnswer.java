package org.wasabilug.endpoint.wire;

/**
 * Body of a whole answer.
 *
 * @param text the result
 */
public record WholeAnswer(String text) {}
