/** Programs, not tests, that measure the memory and CPU cost of one instance. */
package org.wasabilug.measure;
