/** Entry point of {@code wasabilug-bench}, which runs load experiments and writes reports. */
package org.wasabilug.bench;
