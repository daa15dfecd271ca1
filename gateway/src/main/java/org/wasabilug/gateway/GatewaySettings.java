package org.wasabilug.gateway;

import java.net.InetSocketAddress;
import org.wasabilug.internal.serving.ColdLimits;
import org.wasabilug.internal.serving.RetryLimits;

/**
 * Settings of one gateway process.
 *
 * @param name name of the instance
 * @param failureDomain failure domain in which it runs
 * @param callers address for callers
 * @param readiness address for readiness checks and metrics
 * @param peers address for other instances; the port is the same at all of them
 * @param store address of the store
 * @param retryLimits limits of repeated sends
 * @param coldLimits limits of cold endpoints
 * @param stopMillis time between a stop signal and the kill
 */
public record GatewaySettings(
        String name,
        String failureDomain,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        InetSocketAddress store,
        RetryLimits retryLimits,
        ColdLimits coldLimits,
        long stopMillis) {}
