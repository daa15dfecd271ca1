/** Structured log lines and metrics of the gateway. */
package org.wasabilug.gateway.internal.log;
