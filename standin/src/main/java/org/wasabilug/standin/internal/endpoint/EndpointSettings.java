package org.wasabilug.standin.internal.endpoint;

import org.wasabilug.model.CallProtocol;
import org.wasabilug.standin.StageBehaviour;

/**
 * Fixed properties of a stand-in endpoint.
 *
 * @param name name of the endpoint
 * @param protocol whether answers are streamed or sent whole
 * @param behaviour computes results
 * @param coldLimit maximum number of calls in flight that it can handle during cold start
 * @param concurrency calls in flight that it serves at full speed when warm
 * @param fallsOver true to crash on a call that exceeds the cold limit
 * @param startsCold true if the first generation starts cold
 * @param coldStartNanos duration of a cold start, in nanoseconds
 * @param firstTokenNanos delay before the first chunk, in nanoseconds
 * @param tokenNanos delay between chunks, in nanoseconds
 * @param firstGeneration number of the first generation
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
