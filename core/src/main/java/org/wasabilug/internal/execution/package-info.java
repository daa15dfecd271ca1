/** Execution of pipelines: stages, attempts, answers and refusals of requests. */
package org.wasabilug.internal.execution;
