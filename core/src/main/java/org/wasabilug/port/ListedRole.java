package org.wasabilug.port;

/** What a listed instance is. */
public enum ListedRole {
    /** An entry instance of this system. */
    ENTRY,
    /** An endpoint. */
    ENDPOINT
}
