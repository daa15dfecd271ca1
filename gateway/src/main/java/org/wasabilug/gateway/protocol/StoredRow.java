package org.wasabilug.gateway.protocol;

/**
 * One row of the store.
 *
 * @param key key in its table
 * @param value content; empty for a removed row
 * @param version position of its last change
 * @param removed true where the row no longer exists
 */
public record StoredRow(String key, byte[] value, long version, boolean removed) {}
