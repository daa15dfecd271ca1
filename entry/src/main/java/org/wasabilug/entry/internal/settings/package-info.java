/** Settings of the program, from flags and environment variables. */
package org.wasabilug.entry.internal.settings;
