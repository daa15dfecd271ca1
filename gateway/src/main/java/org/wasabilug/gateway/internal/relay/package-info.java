/** Connections to endpoints that one instance relays for another. */
package org.wasabilug.gateway.internal.relay;
