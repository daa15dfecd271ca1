/** The actor that owns the decision core, and the execution of the core's actions. */
package org.wasabilug.entry.internal.actor;
