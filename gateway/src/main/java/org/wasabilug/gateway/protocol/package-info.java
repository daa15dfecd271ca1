/** Names and formats of a deployment that the gateway depends on; implemented by adapters. */
package org.wasabilug.gateway.protocol;
