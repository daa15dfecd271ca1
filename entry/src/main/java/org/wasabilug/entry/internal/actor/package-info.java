/** The actor that owns the decisions, and what it performs. */
package org.wasabilug.entry.internal.actor;
