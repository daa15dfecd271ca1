package org.wasabilug.serving;

/**
 * A part of a prompt that requests may share.
 *
 * @param id hash of this part and all parts before it
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
