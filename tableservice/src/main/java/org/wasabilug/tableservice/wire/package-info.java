/** JSON that travels between an instance and the platform's services. */
package org.wasabilug.tableservice.wire;
