/** The daemon that runs a platform and endpoints. */
package org.wasabilug.standin.internal.daemon;
