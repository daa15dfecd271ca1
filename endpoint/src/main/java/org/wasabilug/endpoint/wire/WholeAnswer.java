package org.wasabilug.endpoint.wire;

/**
 * Body of an answer that is not streamed.
 *
 * @param text the whole result
 */
public record WholeAnswer(String text) {}
