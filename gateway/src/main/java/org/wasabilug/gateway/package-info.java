/** The gateway daemon: forwards requests of callers to endpoints that register in a store. */
package org.wasabilug.gateway;
