/** Settings and commands of the program {@code wasabilug-bench}. */
package org.wasabilug.bench.internal.program;
