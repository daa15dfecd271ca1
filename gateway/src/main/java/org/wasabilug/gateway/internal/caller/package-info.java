/** HTTP connections of callers. */
package org.wasabilug.gateway.internal.caller;
