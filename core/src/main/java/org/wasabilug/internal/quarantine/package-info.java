/** Quarantine of request contents that crash endpoints. */
package org.wasabilug.internal.quarantine;
