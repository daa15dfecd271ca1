/** Following of configuration, endpoints and instances. */
package org.wasabilug.gateway.internal.fleet;
