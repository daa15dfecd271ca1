/** Connections between instances: liveness, load, pieces of stages and relayed store rows. */
package org.wasabilug.gateway.internal.peer;
