/** The daemon that serves callers and operators and executes pipelines on endpoints. */
package org.wasabilug.entry;
