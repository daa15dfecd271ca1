/** Wall-clock latency of a real entry instance beside its stand-in endpoint, over loopback. */
package org.wasabilug.bench.internal.latency;
