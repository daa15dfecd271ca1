/** The gateway daemon: forwards callers' requests to endpoints that register in a store. */
package org.wasabilug.gateway;
