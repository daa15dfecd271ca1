package org.wasabilug.internal.serving;

/**
 * Work that instances have sent to an endpoint and that has not ended.
 *
 * @param running requests
 * @param tokens prompt and expected output tokens of these
 * @param unreadTokens prompt tokens of requests whose first event has not come
 */
public record EndpointLoad(int running, long tokens, long unreadTokens) {
    /** No work. */
    public static final EndpointLoad NONE = new EndpointLoad(0, 0, 0);

    /**
     * Adds two loads.
     *
     * @param other the other
     * @return the sum
     */
    public EndpointLoad plus(EndpointLoad other) {
        return new EndpointLoad(
                running + other.running, tokens + other.tokens, unreadTokens + other.unreadTokens);
    }
}
