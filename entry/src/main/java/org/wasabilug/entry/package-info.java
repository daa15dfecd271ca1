/** Placeholder. */
package org.wasabilug.entry;
