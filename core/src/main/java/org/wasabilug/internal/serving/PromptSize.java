package org.wasabilug.internal.serving;

import java.util.List;
import org.wasabilug.serving.PromptPart;

/**
 * Size of a request to a model engine.
 *
 * @param promptTokens number of prompt tokens
 * @param outputTokens maximum number of output tokens
 * @param affinityKey ID of the longest part that other requests may share; empty if there is none
 * @param parts parts of the prompt, in order
 */
public record PromptSize(
        int promptTokens, int outputTokens, String affinityKey, List<PromptPart> parts) {
    /** Copies the parts. */
    public PromptSize {
        parts = List.copyOf(parts);
    }

    /** Size of a request without a prompt. */
    public static final PromptSize NONE = new PromptSize(0, 0, "", List.of());

    /**
     * Creates the size of a prompt. The last part is assumed to be specific to the request.
     *
     * @param promptTokens number of prompt tokens
     * @param outputTokens maximum number of output tokens
     * @param parts parts of the prompt, in order
     */
    public static PromptSize of(int promptTokens, int outputTokens, List<PromptPart> parts) {
        if (parts.isEmpty()) {
            return new PromptSize(promptTokens, outputTokens, "", List.of());
        }
        int sharedParts = Math.max(1, parts.size() - 1);
        return new PromptSize(promptTokens, outputTokens, parts.get(sharedParts - 1).id(), parts);
    }

    /** Returns the load that a request adds to an endpoint until its first event. */
    public EndpointLoad load() {
        return new EndpointLoad(1, (long) promptTokens + outputTokens, promptTokens);
    }
}
