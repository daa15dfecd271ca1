/** Tests of the daemon's front. */
package org.wasabilug.entry;
