/** The path of each request from a caller to endpoints and back. */
package org.wasabilug.gateway.internal.request;
