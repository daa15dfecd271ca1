/** Settings and commands of {@code wasabilug-bench}. */
package org.wasabilug.bench.internal.program;
