/** Quarantine of requests that crash endpoints. */
package org.wasabilug.internal.quarantine;
