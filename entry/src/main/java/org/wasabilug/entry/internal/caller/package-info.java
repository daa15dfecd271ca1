/** The callers' HTTP interface. */
package org.wasabilug.entry.internal.caller;
