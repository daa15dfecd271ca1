/** Deadlines, observed stage durations and the queue of waiting calls. */
package org.wasabilug.internal.deadline;
