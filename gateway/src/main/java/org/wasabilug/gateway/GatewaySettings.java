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
 * @param peers address for other instances; all instances use the same port
 * @param relays address for connections that other instances have relayed to endpoints; all
 *     instances use the same port
 * @param store address of the store
 * @param retryLimits limits of retries
 * @param coldLimits limits of cold endpoints
 * @param processorShare processor time available to the process, in cores
 * @param firstStart true only when the whole fleet starts for the first time
 * @param stopMillis time in milliseconds between the stop signal and the forced end of the process
 * @param features settings of features that the deployment turns on or limits
 */
public record GatewaySettings(
        String name,
        String failureDomain,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        InetSocketAddress relays,
        InetSocketAddress store,
        RetryLimits retryLimits,
        ColdLimits coldLimits,
        double processorShare,
        boolean firstStart,
        long stopMillis,
        FeatureSettings features) {}
