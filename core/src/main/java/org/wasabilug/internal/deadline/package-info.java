/** Deadlines, learned stage times and the queue of waiting calls. */
package org.wasabilug.internal.deadline;
