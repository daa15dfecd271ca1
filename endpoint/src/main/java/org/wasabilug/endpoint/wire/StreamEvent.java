package org.wasabilug.endpoint.wire;

/** One event of a streamed answer. */
public sealed interface StreamEvent {
    /**
     * Part of the result.
     *
     * @param offset position of this part in the result, in characters
     * @param text text of this part
     */
    record Chunk(int offset, String text) implements StreamEvent {}

    /**
     * The result is complete.
     *
     * @param length length of the whole result, in characters
     */
    record Done(int length) implements StreamEvent {}
}
