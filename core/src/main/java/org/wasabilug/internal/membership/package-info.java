/** Peers of an instance: liveness, and exchange of cached configuration. */
package org.wasabilug.internal.membership;
