/** Routing of attempts to endpoints. */
package org.wasabilug.internal.routing;
