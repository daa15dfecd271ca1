/** Peers of an instance: who is alive, and the exchange of cached configuration. */
package org.wasabilug.internal.membership;
