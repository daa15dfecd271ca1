/** JSON messages between instances and the platform's services. */
package org.wasabilug.tableservice.wire;
