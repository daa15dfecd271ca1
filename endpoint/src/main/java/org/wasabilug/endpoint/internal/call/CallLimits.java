package org.wasabilug.endpoint.internal.call;

import java.time.Duration;

/**
 * Bounds of what is read from an endpoint.
 *
 * @param maximumEventBytes largest event of a stream, in bytes
 * @param maximumBodyBytes largest whole answer, in bytes
 * @param maximumResumeCharacters longest beginning of a result that is sent to be continued; after
 *     a longer one the endpoint is asked for the whole result, of which what is there is dropped
 * @param controlTimeout longest time of a poll, an order or a read of state
 */
public record CallLimits(
        int maximumEventBytes,
        int maximumBodyBytes,
        int maximumResumeCharacters,
        Duration controlTimeout) {}
