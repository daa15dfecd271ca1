package org.wasabilug.entry.internal.peer;

/**
 * Counters of a transport since it was opened.
 *
 * @param sent messages written to a connection
 * @param dropped messages discarded because no connection could accept them
 * @param received messages received
 * @param closedAfterErrors connections closed because of an error or an invalid message
 */
public record PeerTransportCounts(long sent, long dropped, long received, long closedAfterErrors) {}
