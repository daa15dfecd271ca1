package org.wasabilug.serving;

/**
 * Capacity of one model engine.
 *
 * @param slots number of requests that run concurrently
 * @param tokens number of tokens that fit into the engine's memory
 */
public record EngineCapacity(int slots, long tokens) {}
