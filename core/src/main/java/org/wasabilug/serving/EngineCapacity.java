package org.wasabilug.serving;

/**
 * What one model engine can hold.
 *
 * @param slots requests that run at the same time
 * @param tokens tokens that fit into its memory
 */
public record EngineCapacity(int slots, long tokens) {}
