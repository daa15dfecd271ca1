package org.wasabilug.gateway.internal.store;

import java.util.function.LongSupplier;

/**
 * A table to be followed.
 *
 * @param name name of the table
 * @param waitMillis returns the maximum time for which the store holds a poll until a change
 * @param pauseMillis returns the pause until the next poll
 */
public record FollowedTable(String name, LongSupplier waitMillis, LongSupplier pauseMillis) {}
