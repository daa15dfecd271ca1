/** Tests of an entry instance through its HTTP interfaces. */
package org.wasabilug.entry.usage;
