package org.wasabilug.port;

/**
 * A row of the table service.
 *
 * @param key table and key of the row
 * @param value content of the row, JSON by convention
 * @param version starts at 1 and increases by one with each write of the row
 */
public record Row(RowKey key, String value, long version) {}
