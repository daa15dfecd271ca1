/** Daemon that runs a simulated platform and endpoints in one process. */
package org.wasabilug.standin.internal.daemon;
