package org.wasabilug.endpoint.wire;

/** One event of a streamed answer. */
public sealed interface StreamEvent {
    /**
     * Part of the result.
     *
     * @param offset characters of the result before this part
     * @param text the part
     */
    record Chunk(int offset, String text) implements StreamEvent {}

    /**
     * The result is complete.
     *
     * @param length characters of the whole result
     */
    record Done(int length) implements StreamEvent {}
}
