package org.wasabilug.serving;

/**
 * A part of a prompt that requests may share.
 *
 * @param id hash of the part and of all before it
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
