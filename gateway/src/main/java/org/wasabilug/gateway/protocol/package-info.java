/** What the gateway needs to know of a deployment's names and formats; adapters implement it. */
package org.wasabilug.gateway.protocol;
