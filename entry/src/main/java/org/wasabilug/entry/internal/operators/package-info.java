/** HTTP interface for operators, with health checks and metrics. */
package org.wasabilug.entry.internal.operators;
