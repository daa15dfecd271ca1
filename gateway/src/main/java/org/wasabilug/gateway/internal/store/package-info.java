/** Connections to the store, and followers of its tables. */
package org.wasabilug.gateway.internal.store;
