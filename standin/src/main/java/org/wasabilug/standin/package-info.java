/** Placeholder. */
package org.wasabilug.standin;
