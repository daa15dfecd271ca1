/** Placeholder. */
package org.wasabilug.bench;
