package org.wasabilug.scenarios.internal.fake;

import org.wasabilug.scenarios.internal.clock.VirtualClock;

/**
 * How a fake endpoint serves.
 *
 * @param firstChunkNanos time to the first part of a result, unloaded, in nanoseconds
 * @param chunkNanos time between parts, unloaded, in nanoseconds
 * @param minChunks fewest parts of a result
 * @param maxChunks most parts of a result
 * @param warmUpNanos length of a cold start, in nanoseconds
 * @param coldFactor how many times slower a cold endpoint is
 */
public record EndpointProfile(
        long firstChunkNanos,
        long chunkNanos,
        int minChunks,
        int maxChunks,
        long warmUpNanos,
        double coldFactor) {
    /**
     * Profile of a stage with one short result, such as an encoder.
     *
     * @param milliseconds time of a call, unloaded
     * @return the profile
     */
    public static EndpointProfile shortStage(long milliseconds) {
        long nanos = milliseconds * VirtualClock.MILLISECOND_NANOS;
        return new EndpointProfile(nanos, nanos / 10, 1, 2, 8 * VirtualClock.SECOND_NANOS, 4);
    }

    /**
     * Profile of a generator.
     *
     * @param firstMilliseconds time to the first part
     * @param chunkMilliseconds time between parts
     * @return the profile
     */
    public static EndpointProfile generator(long firstMilliseconds, long chunkMilliseconds) {
        return new EndpointProfile(
                firstMilliseconds * VirtualClock.MILLISECOND_NANOS,
                chunkMilliseconds * VirtualClock.MILLISECOND_NANOS,
                8,
                24,
                20 * VirtualClock.SECOND_NANOS,
                4);
    }
}
