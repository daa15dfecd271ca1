/** Use of an entry instance over its HTTP interfaces. */
package org.wasabilug.entry.usage;
