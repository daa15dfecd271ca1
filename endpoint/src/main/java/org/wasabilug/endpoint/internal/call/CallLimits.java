package org.wasabilug.endpoint.internal.call;

import java.time.Duration;

/**
 * Limits of calls to endpoints.
 *
 * @param maximumEventBytes maximum size of one event of a streamed answer, in bytes
 * @param maximumBodyBytes maximum size of a whole answer, in bytes
 * @param maximumResumeCharacters maximum length of a partial result that is sent to be resumed; if
 *     it is longer, the whole result is requested and the known part of it is discarded
 * @param controlTimeout timeout of a poll, an order or a read of an engine's state
 */
public record CallLimits(
        int maximumEventBytes,
        int maximumBodyBytes,
        int maximumResumeCharacters,
        Duration controlTimeout) {}
