/** Settings of the daemon from flags and environment variables. */
package org.wasabilug.standin.internal.settings;
