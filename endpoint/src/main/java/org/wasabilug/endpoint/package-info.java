/** Access to endpoints: calls, load reports, cache events and orders. */
package org.wasabilug.endpoint;
