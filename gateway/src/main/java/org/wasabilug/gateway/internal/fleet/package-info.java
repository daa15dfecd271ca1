/** Tracking of configuration, endpoints and instances in the store. */
package org.wasabilug.gateway.internal.fleet;
