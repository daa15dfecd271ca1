/** Authentication and TLS. */
package org.wasabilug.entry.internal.security;
