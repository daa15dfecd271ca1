/** Public front of the serving system: coordination parts that stand alone. */
package org.wasabilug;
