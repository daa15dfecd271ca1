package org.wasabilug.gateway.internal.endpoint;

/** What came of opening a connection to an address. */
public enum ProbeResult {
    /** The address takes connections. */
    OPEN,
    /** The address refuses connections. */
    REFUSED,
    /** Nothing came back. */
    SILENT
}
