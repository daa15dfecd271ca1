package org.wasabilug.port;

/** Role of a listed instance. */
public enum ListedRole {
    /** An entry instance of this system. */
    ENTRY,
    /** An endpoint. */
    ENDPOINT
}
