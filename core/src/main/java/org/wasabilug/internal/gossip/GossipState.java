package org.wasabilug.internal.gossip;

/**
 * State of an instance as it travels between instances.
 *
 * @param <T> type of the content
 * @param instance name of the instance that wrote it
 * @param version grows with each state that the instance writes, also over its restarts while its
 *     clock does not go back
 * @param ageMillis time since it was written, in milliseconds
 * @param content what the instance tells
 */
public record GossipState<T>(String instance, long version, long ageMillis, T content) {
    GossipState<T> withAge(long millis) {
        return new GossipState<>(instance, version, millis, content);
    }
}
