/** Calls to endpoints that do the stages before a request runs. */
package org.wasabilug.gateway.internal.stage;
