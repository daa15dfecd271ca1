package org.wasabilug.gateway.protocol;

import org.wasabilug.serving.StoreRevision;

/**
 * One row of the store.
 *
 * @param key key in its table
 * @param value content; empty for a removed row
 * @param revision revision of the store at the last change of the row
 * @param removed true if the row no longer exists
 */
public record StoredRow(String key, byte[] value, StoreRevision revision, boolean removed) {}
