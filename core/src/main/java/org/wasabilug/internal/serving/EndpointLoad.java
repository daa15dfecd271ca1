package org.wasabilug.internal.serving;

/**
 * Unfinished work that instances have sent to an endpoint.
 *
 * @param running number of requests
 * @param tokens prompt tokens and maximum output tokens of these requests
 * @param unreadTokens prompt tokens of the requests that have not produced their first event
 */
public record EndpointLoad(int running, long tokens, long unreadTokens) {
    /** No load. */
    public static final EndpointLoad NONE = new EndpointLoad(0, 0, 0);

    /**
     * Returns the sum of this load and another.
     *
     * @param other the load to add
     */
    public EndpointLoad plus(EndpointLoad other) {
        return new EndpointLoad(
                running + other.running, tokens + other.tokens, unreadTokens + other.unreadTokens);
    }
}
