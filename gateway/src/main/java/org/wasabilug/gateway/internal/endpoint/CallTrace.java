package org.wasabilug.gateway.internal.endpoint;

import org.wasabilug.gateway.internal.log.LogLine;

/**
 * The connection that carries a call.
 *
 * @param connection number of the connection, unique within the process
 * @param callsBefore calls that the connection carried before
 * @param responsesIgnored responses to other calls that arrived while this one was in progress
 * @param relayed true if another instance relays the connection
 */
public record CallTrace(long connection, int callsBefore, int responsesIgnored, boolean relayed) {
    /** Adds how the call was carried to a log line. */
    public void addTo(LogLine line) {
        line.with("connection", connection)
                .with("calls_before", callsBefore)
                .with("ignored", responsesIgnored)
                .with("relayed", relayed);
    }
}
