/** One process that shows the whole path: stand-ins, three entry instances and callers. */
package org.wasabilug.demo;
