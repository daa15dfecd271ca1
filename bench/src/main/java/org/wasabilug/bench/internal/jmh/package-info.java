/** JMH benchmarks of single routing decisions. */
package org.wasabilug.bench.internal.jmh;
