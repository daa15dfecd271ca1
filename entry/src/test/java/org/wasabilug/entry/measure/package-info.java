/** Programs that measure the resource usage of an instance. */
package org.wasabilug.entry.measure;
