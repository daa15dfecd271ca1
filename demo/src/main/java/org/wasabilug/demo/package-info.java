/** Placeholder. */
package org.wasabilug.demo;
