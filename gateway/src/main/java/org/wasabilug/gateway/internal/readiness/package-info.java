/** Answers to readiness checks, and metrics as text. */
package org.wasabilug.gateway.internal.readiness;
