package org.wasabilug.internal.event;

/**
 * Ties an answer of the platform to the part that asked.
 *
 * @param part who asked
 * @param number unique within the part
 */
public record OperationId(Component part, long number) {}
