/** Code shared by both HTTP interfaces: problem responses, JSON and listeners. */
package org.wasabilug.entry.internal.http;
