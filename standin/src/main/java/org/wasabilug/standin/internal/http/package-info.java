/** HTTP server and common responses of the stand-ins. */
package org.wasabilug.standin.internal.http;
