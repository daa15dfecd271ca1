package org.wasabilug.scenarios.internal.fake;

import org.wasabilug.scenarios.internal.clock.VirtualClock;

/**
 * Timing and result sizes of a fake endpoint.
 *
 * @param firstChunkNanos time to the first chunk of a result without load, in nanoseconds
 * @param chunkNanos time between chunks without load, in nanoseconds
 * @param minChunks minimum number of chunks in a result
 * @param maxChunks maximum number of chunks in a result
 * @param warmUpNanos duration of a cold start, in nanoseconds
 * @param coldFactor factor by which a cold endpoint is slower
 */
public record EndpointProfile(
        long firstChunkNanos,
        long chunkNanos,
        int minChunks,
        int maxChunks,
        long warmUpNanos,
        double coldFactor) {
    /**
     * Creates the profile of a stage with a short result, such as an encoder.
     *
     * @param milliseconds time to the first chunk without load
     * @return a profile with one or two chunks and a cold start of 8 seconds
     */
    public static EndpointProfile shortStage(long milliseconds) {
        long nanos = milliseconds * VirtualClock.MILLISECOND_NANOS;
        return new EndpointProfile(nanos, nanos / 10, 1, 2, 8 * VirtualClock.SECOND_NANOS, 4);
    }

    /**
     * Creates the profile of a generator.
     *
     * @param firstMilliseconds time to the first chunk without load
     * @param chunkMilliseconds time between chunks without load
     * @return a profile with 8 to 24 chunks and a cold start of 20 seconds
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
