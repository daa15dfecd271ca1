/** The operators' HTTP interface, health and metrics. */
package org.wasabilug.entry.internal.operators;
