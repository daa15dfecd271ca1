/** Demonstration in one process: stand-ins, three entry instances and callers. */
package org.wasabilug.demo;
