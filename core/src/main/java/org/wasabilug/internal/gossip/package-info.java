/** Spread of the state of each instance to all others by way of a few neighbors. */
package org.wasabilug.internal.gossip;
