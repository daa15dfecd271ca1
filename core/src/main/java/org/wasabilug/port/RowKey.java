package org.wasabilug.port;

/**
 * Table and key of a row in the platform's table service.
 *
 * @param table name of the table
 * @param key key within the table; range reads return rows in key order
 */
public record RowKey(String table, String key) {}
