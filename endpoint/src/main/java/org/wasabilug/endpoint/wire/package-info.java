/** JSON that travels between an instance and endpoints. */
package org.wasabilug.endpoint.wire;
