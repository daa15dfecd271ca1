/** JSON messages between instances and endpoints. */
package org.wasabilug.endpoint.wire;
