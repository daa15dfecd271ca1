/** HTTP servers on loopback and their answers. */
package org.wasabilug.standin.internal.http;
