/** Tests of authentication and TLS. */
package org.wasabilug.entry.internal.security;
