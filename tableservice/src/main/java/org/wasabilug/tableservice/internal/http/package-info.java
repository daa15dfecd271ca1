/** HTTP exchanges with the platform, their request budget and their circuit breaker. */
package org.wasabilug.tableservice.internal.http;
