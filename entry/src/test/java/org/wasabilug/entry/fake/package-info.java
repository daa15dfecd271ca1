/** Fakes of the core and the clients of an entry instance. */
package org.wasabilug.entry.fake;
