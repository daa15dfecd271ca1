/** HTTP interface for callers. */
package org.wasabilug.entry.internal.caller;
