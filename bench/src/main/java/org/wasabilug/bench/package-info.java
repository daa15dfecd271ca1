/** Load, experiments and reports: the program {@code wasabilug-bench}. */
package org.wasabilug.bench;
