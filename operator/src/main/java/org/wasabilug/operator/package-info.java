/** Placeholder. */
package org.wasabilug.operator;
