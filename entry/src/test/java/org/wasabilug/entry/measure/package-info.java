/** Programs that measure what an instance costs. */
package org.wasabilug.entry.measure;
