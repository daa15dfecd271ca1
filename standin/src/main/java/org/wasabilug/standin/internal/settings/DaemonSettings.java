package org.wasabilug.standin.internal.settings;

import java.time.Duration;
import java.util.Map;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.model.FailureDomainName;

/**
 * Checked settings of the daemon.
 *
 * @param host IP number to listen on
 * @param platformPort port of the platform; 0 lets the system choose
 * @param firstEndpointPort port of the first endpoint; 0 lets the system choose
 * @param endpoints number of endpoints for each failure domain
 * @param protocol shape of the answers
 * @param words words of each answer
 * @param coldLimit calls in flight that a cold start bears
 * @param concurrency calls in flight that are served at full speed
 * @param coldStartTime length of a cold start
 * @param timeToFirstToken time to the first chunk
 * @param timeBetweenTokens time between chunks
 * @param startsCold true where endpoints start cold
 * @param fallsOver true where load over the cold limit crashes
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
