/**
 * Decisions about requests to routed services: routes, endpoints, limits, retries and stages.
 *
 * <p>The classes neither read a clock nor perform I/O. Times are in milliseconds of one monotonic
 * clock. Classes are not thread-safe; each instance is confined to one event loop.
 */
package org.wasabilug.internal.serving;
