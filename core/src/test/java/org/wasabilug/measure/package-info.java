/** Programs that measure what one instance costs; none of them is a test. */
package org.wasabilug.measure;
