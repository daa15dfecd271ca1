/** Calls to endpoints: connections, answers and control requests. */
package org.wasabilug.endpoint.internal.call;
