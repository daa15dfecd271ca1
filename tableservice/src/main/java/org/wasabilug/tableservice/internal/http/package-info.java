/** One HTTP exchange with the platform, its budget and its circuit breaker. */
package org.wasabilug.tableservice.internal.http;
