/** Connections between instances: liveness, load, pieces of stages and knowledge of the store. */
package org.wasabilug.gateway.internal.peer;
