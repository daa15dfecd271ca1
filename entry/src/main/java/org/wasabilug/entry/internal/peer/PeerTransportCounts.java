package org.wasabilug.entry.internal.peer;

/**
 * What a transport has done since it was opened.
 *
 * @param sent messages handed to a connection
 * @param dropped messages given up since no connection would take them
 * @param received messages that arrived
 * @param refused connections closed for what they sent
 */
public record PeerTransportCounts(long sent, long dropped, long received, long refused) {}
