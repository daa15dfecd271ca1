package org.wasabilug.port;

/**
 * A stored row.
 *
 * @param key place of the row
 * @param value its text, JSON by convention
 * @param version grows by one with each write of the row, from 1
 */
public record Row(RowKey key, String value, long version) {}
