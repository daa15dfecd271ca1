/** One running call: its connection, its answer and its end. */
package org.wasabilug.endpoint.internal.call;
