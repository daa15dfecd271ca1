/** Unchecked exceptions with codes, and the one place that words them. */
package org.wasabilug.error;
