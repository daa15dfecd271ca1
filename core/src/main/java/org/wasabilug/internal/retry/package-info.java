/** Retries and hedges. */
package org.wasabilug.internal.retry;
