/** Placeholder. */
package org.wasabilug.scenarios;
