package org.wasabilug.gateway.internal.store;

/**
 * A table that is followed.
 *
 * @param name name of the table
 * @param waitMillis longest wait of the store for a change
 * @param pauseMillis pause between two calls
 */
public record FollowedTable(String name, long waitMillis, long pauseMillis) {}
