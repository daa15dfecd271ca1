/** Benchmarks of single decisions, run by JMH. */
package org.wasabilug.bench.internal.jmh;
