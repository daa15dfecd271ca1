package org.wasabilug.gateway.protocol;

/**
 * One row of the store.
 *
 * @param key key in its table
 * @param value content; empty for a removed row
 * @param version version of the store at the last change of the row
 * @param removed true if the row no longer exists
 */
public record StoredRow(String key, byte[] value, long version, boolean removed) {}
