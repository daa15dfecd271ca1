/** Decides when a request that takes long is sent to a second endpoint as well. */
package org.wasabilug.internal.hedge;
