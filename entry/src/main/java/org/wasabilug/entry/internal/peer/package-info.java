/** Connections between entry instances, based on Netty and protobuf. */
package org.wasabilug.entry.internal.peer;
