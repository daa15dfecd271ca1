/** Credentials and their check. */
package org.wasabilug.entry.internal.security;
