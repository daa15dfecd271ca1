package org.wasabilug.port;

/**
 * Place of a row in the platform's table service.
 *
 * @param table name of the table
 * @param key key within the table; range reads go by its order
 */
public record RowKey(String table, String key) {}
