/** Connections to the store and the following of its tables. */
package org.wasabilug.gateway.internal.store;
