/** HTTP connections to endpoints. */
package org.wasabilug.gateway.internal.endpoint;
