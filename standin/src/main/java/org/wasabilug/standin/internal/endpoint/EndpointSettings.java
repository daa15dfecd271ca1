package org.wasabilug.standin.internal.endpoint;

import org.wasabilug.model.CallProtocol;
import org.wasabilug.standin.StageBehaviour;

/**
 * Fixed properties of a stand-in endpoint.
 *
 * @param name name of the endpoint
 * @param protocol shape of its answers
 * @param behaviour computes results
 * @param coldLimit most calls in flight that it bears during cold start
 * @param concurrency calls in flight that it serves at full speed when warm
 * @param fallsOver true to crash on a call over the cold limit
 * @param startsCold true to be cold at the start
 * @param coldStartNanos length of a cold start, in nanoseconds
 * @param firstTokenNanos time to the first chunk, in nanoseconds
 * @param tokenNanos time between chunks, in nanoseconds
 * @param firstGeneration number of the first process life
 */
public record EndpointSettings(
        String name,
        CallProtocol protocol,
        StageBehaviour behaviour,
        int coldLimit,
        int concurrency,
        boolean fallsOver,
        boolean startsCold,
        long coldStartNanos,
        long firstTokenNanos,
        long tokenNanos,
        long firstGeneration) {}
