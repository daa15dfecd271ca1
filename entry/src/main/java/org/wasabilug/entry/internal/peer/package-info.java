/** EndpointConnections between entry instances: Netty with protobuf. */
package org.wasabilug.entry.internal.peer;
