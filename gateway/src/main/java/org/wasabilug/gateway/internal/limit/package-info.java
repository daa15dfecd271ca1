/** Bounds on what connections take of a process, decided without a network. */
package org.wasabilug.gateway.internal.limit;
