package org.wasabilug.internal.serving;

/** Result of an attempt to open a connection to an endpoint. */
public enum ConnectionResult {
    /** The address accepted the connection. */
    OPENED,
    /** The address refused the connection, or is unreachable for another reason than a timeout. */
    REFUSED,
    /** The attempt timed out without a reply from the address. */
    SILENT
}
