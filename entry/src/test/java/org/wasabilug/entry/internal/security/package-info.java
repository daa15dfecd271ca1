/** Tests of credentials. */
package org.wasabilug.entry.internal.security;
