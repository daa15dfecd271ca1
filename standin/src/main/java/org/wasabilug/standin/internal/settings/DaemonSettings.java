package org.wasabilug.standin.internal.settings;

import java.time.Duration;
import java.util.Map;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.model.FailureDomainName;

/**
 * Checked settings of the daemon.
 *
 * @param host IP address to listen on
 * @param platformPort port of the platform; 0 lets the operating system choose one
 * @param firstEndpointPort port of the first endpoint, the others use the following ports; 0 lets
 *     the operating system choose them
 * @param endpoints number of endpoints for each failure domain
 * @param protocol whether answers are streamed or sent whole
 * @param words number of words of each answer
 * @param coldLimit maximum number of calls in flight that an endpoint can handle during cold start
 * @param concurrency calls in flight that are served at full speed
 * @param coldStartTime duration of a cold start
 * @param timeToFirstToken delay before the first chunk
 * @param timeBetweenTokens delay between chunks
 * @param startsCold true if endpoints start cold
 * @param fallsOver true if a call that exceeds the cold limit crashes the endpoint
 */
public record DaemonSettings(
        String host,
        int platformPort,
        int firstEndpointPort,
        Map<FailureDomainName, Integer> endpoints,
        CallProtocol protocol,
        int words,
        int coldLimit,
        int concurrency,
        Duration coldStartTime,
        Duration timeToFirstToken,
        Duration timeBetweenTokens,
        boolean startsCold,
        boolean fallsOver) {}
