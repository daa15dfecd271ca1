/** Calls to endpoints that run the stages of a request. */
package org.wasabilug.gateway.internal.stage;
