/**
 * Decisions about requests of routed services: routes, endpoints, limits, retries and stages.
 *
 * <p>Nothing here reads a clock or does I/O. Times are milliseconds of one monotonic clock. Classes
 * are not thread-safe; one event loop owns them.
 */
package org.wasabilug.internal.serving;
