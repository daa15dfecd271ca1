/** The daemon that serves callers and operators and runs pipelines on endpoints. */
package org.wasabilug.entry;
