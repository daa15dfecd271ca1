/** Choice of an endpoint for each attempt. */
package org.wasabilug.internal.routing;
