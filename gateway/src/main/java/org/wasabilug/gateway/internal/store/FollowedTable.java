package org.wasabilug.gateway.internal.store;

/**
 * A table to be followed.
 *
 * @param name name of the table
 * @param waitMillis maximum time for which the store holds a poll until a change
 * @param pauseMillis pause between two polls
 */
public record FollowedTable(String name, long waitMillis, long pauseMillis) {}
