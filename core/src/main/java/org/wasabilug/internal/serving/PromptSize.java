package org.wasabilug.internal.serving;

import java.util.List;
import org.wasabilug.serving.PromptPart;

/**
 * Size of a request to a model engine.
 *
 * @param promptTokens tokens to read
 * @param outputTokens most tokens to write
 * @param affinityKey id of the longest part that other requests may share; empty where none is
 * @param parts its parts in order
 */
public record PromptSize(
        int promptTokens, int outputTokens, String affinityKey, List<PromptPart> parts) {
    /** Copies the list. */
    public PromptSize {
        parts = List.copyOf(parts);
    }

    /** Size of a request that has no prompt. */
    public static final PromptSize NONE = new PromptSize(0, 0, "", List.of());

    /**
     * Sums up a prompt; its last part belongs to the request alone.
     *
     * @param promptTokens tokens to read
     * @param outputTokens most tokens to write
     * @param parts its parts in order
     * @return the size
     */
    public static PromptSize of(int promptTokens, int outputTokens, List<PromptPart> parts) {
        if (parts.isEmpty()) {
            return new PromptSize(promptTokens, outputTokens, "", List.of());
        }
        int sharedParts = Math.max(1, parts.size() - 1);
        return new PromptSize(promptTokens, outputTokens, parts.get(sharedParts - 1).id(), parts);
    }

    /**
     * Gives what a request adds to an endpoint until its first event.
     *
     * @return the load
     */
    public EndpointLoad load() {
        return new EndpointLoad(1, (long) promptTokens + outputTokens, promptTokens);
    }
}
