/** Tests of the entry daemon. */
package org.wasabilug.entry;
