/** Execution of pipelines: stages, attempts, answers and refusals of each request. */
package org.wasabilug.internal.execution;
