package org.wasabilug.gateway.internal.endpoint;

/** Result of a connection attempt to an address. */
public enum ProbeResult {
    /** The address accepts connections. */
    OPEN,
    /** The address refuses connections, or is unreachable for another reason than a timeout. */
    REFUSED,
    /** The connection attempt timed out. */
    SILENT
}
