/** Wall-clock latency over loopback: calls through an entry instance against direct calls. */
package org.wasabilug.bench.internal.latency;
