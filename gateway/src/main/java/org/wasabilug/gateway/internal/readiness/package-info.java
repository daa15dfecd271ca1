/** HTTP server for readiness checks and metrics. */
package org.wasabilug.gateway.internal.readiness;
