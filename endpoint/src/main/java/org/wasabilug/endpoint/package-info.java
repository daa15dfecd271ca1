/** Client of the endpoints: stage calls, load reports, cache events and engine orders. */
package org.wasabilug.endpoint;
