/** Small fakes at the interfaces of an entry instance. */
package org.wasabilug.entry.fake;
